package peer

import (
	"context"
	"net/http"
	"sync"
)

// inflight counts the requests in flight and lets callers wait until there are none.
type inflight struct {
	mu sync.Mutex
	// n is the number of requests in flight. Guarded by mu.
	n int
	// idle is closed when n falls to 0; nil if no caller is waiting. Guarded by mu.
	idle chan struct{}
}

func (f *inflight) countRequests(next http.Handler) http.Handler {
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
	if f.n == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// wait returns 0 once no request is in flight, or the number of requests left when ctx ends.
func (f *inflight) wait(ctx context.Context) int {
	f.mu.Lock()
	if f.n == 0 {
		f.mu.Unlock()
		return 0
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
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
