package header

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// SetDeadline writes the time left until the context's deadline. Without a
// deadline in the context, the field stays as it is.
func SetDeadline(ctx context.Context, h http.Header) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	left := max(time.Until(deadline).Milliseconds(), 1)
	h.Set(Deadline, strconv.FormatInt(left, 10))
}

// ReadDeadline returns the time left that a request carries. A missing or
// malformed field gives false.
func ReadDeadline(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(h.Get(Deadline), 10, 32)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
