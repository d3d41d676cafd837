package flowserver

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// flow counts the requests in flight of one connection.
type flow struct {
	// registered must be called once the connection is registered with the HTTP/3 server. Calls after the
	// first do nothing.
	registered func()
	active     atomic.Int64
}

// flowSet holds the open flows.
type flowSet struct {
	mu sync.Mutex
	// mu guards open.
	open map[*quic.Conn]*flow
	// requests is the number of requests in flight.
	requests atomic.Int64
}

type flowKey struct{}

func (f *flowSet) add(conn *quic.Conn, registered func()) *flow {
	fl := &flow{registered: sync.OnceFunc(registered)}
	openedTotal.Inc()
	flowsOpen.Inc()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == nil {
		f.open = make(map[*quic.Conn]*flow)
	}
	f.open[conn] = fl
	return fl
}

func (f *flowSet) remove(conn *quic.Conn) {
	closedTotal.Inc()
	flowsOpen.Dec()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, conn)
}

func (f *flowSet) connContext(ctx context.Context, conn *quic.Conn) context.Context {
	f.mu.Lock()
	fl := f.open[conn]
	f.mu.Unlock()
	fl.registered()
	return context.WithValue(ctx, flowKey{}, fl)
}

func (f *flowSet) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fl, _ := r.Context().Value(flowKey{}).(*flow)
		requestsTotal.Inc()
		f.addInFlight(fl, 1)
		defer f.addInFlight(fl, -1)
		next.ServeHTTP(w, r)
	})
}

func (f *flowSet) addInFlight(fl *flow, n int64) {
	f.requests.Add(n)
	if fl != nil {
		fl.active.Add(n)
	}
}

func (f *flowSet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

func (f *flowSet) inFlight() int { return int(f.requests.Load()) }

// busy returns the number of flows with requests in flight, and the number of these requests.
func (f *flowSet) busy() (flows, requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fl := range f.open {
		if fl.active.Load() > 0 {
			flows++
		}
	}
	return flows, f.inFlight()
}
