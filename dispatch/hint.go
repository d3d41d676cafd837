package dispatch

import "context"

// Attempt describes one attempt to the functions that carry it.
type Attempt struct {
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Long says that the request is long work, which may stay without progress.
	Long bool
}

type attemptKey struct{}

func withAttempt(ctx context.Context, a Attempt) context.Context {
	return context.WithValue(ctx, attemptKey{}, a)
}

// AttemptOf returns the description of the attempt that a request's context
// carries. Without one it returns the most careful description.
func AttemptOf(ctx context.Context) Attempt {
	a, _ := ctx.Value(attemptKey{}).(Attempt)
	return a
}
