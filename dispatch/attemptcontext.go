package dispatch

import "context"

// Attempt describes one attempt to Config.Upstream and Config.Peer, which get it through the context of the
// request.
type Attempt struct {
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Long reports whether the request is long work, whose answer may make no progress for some time.
	Long bool
}

type attemptKey struct{}

func withAttempt(ctx context.Context, a Attempt) context.Context {
	return context.WithValue(ctx, attemptKey{}, a)
}

// AttemptFromContext returns the description of the attempt in a request's context. Without one it returns
// that of a request that is neither repeatable nor long, which is the most restrictive.
func AttemptFromContext(ctx context.Context) Attempt {
	a, _ := ctx.Value(attemptKey{}).(Attempt)
	return a
}
