package peer

import (
	"context"
	"net/http"
	"sync"
)

// inflight counts requests being answered.
type inflight struct {
	mu sync.Mutex
	// n is guarded by mu.
	n int
	// zero is closed when n falls to 0, and nil when nobody waits. Guarded by mu.
	zero chan struct{}
}

func (f *inflight) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.add(1)
		defer f.add(-1)
		next.ServeHTTP(w, r)
	})
}

func (f *inflight) add(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n += n
	if f.n == 0 && f.zero != nil {
		close(f.zero)
		f.zero = nil
	}
}

// wait returns 0 when nothing is in flight, or the number of requests left when ctx ends.
func (f *inflight) wait(ctx context.Context) int {
	f.mu.Lock()
	if f.n == 0 {
		f.mu.Unlock()
		return 0
	}
	if f.zero == nil {
		f.zero = make(chan struct{})
	}
	zero := f.zero
	f.mu.Unlock()
	select {
	case <-zero:
		return 0
	case <-ctx.Done():
	}
	return f.count()
}

func (f *inflight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}
