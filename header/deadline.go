package header

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// SetDeadline sets the Deadline field to the time remaining until the context's deadline. If the context
// has no deadline, the field is left unchanged.
func SetDeadline(ctx context.Context, h http.Header) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	remaining := max(time.Until(deadline).Milliseconds(), 1)
	h.Set(Deadline, strconv.FormatInt(remaining, 10))
}

// ReadDeadline returns the value of the Deadline field. The second result is false if the field is missing
// or malformed.
func ReadDeadline(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(h.Get(Deadline), 10, 32)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
