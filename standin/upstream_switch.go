package standin

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"endiveflow.example/endiveflow/upstream"
)

// SetState overrides the announced state and announces it at once.
func (u *Upstream) SetState(s upstream.State) {
	u.mu.Lock()
	u.state = s
	u.mu.Unlock()
	select {
	case u.announceNow <- struct{}{}:
	default:
	}
}

// SetDelay adds to each work time.
func (u *Upstream) SetDelay(d time.Duration) { u.delay.Store(int64(d)) }

// SetBreak says how answers break.
func (u *Upstream) SetBreak(b Break) { u.broken.Store(int32(b)) }

// SetShedding sheds every request while on.
func (u *Upstream) SetShedding(on bool) { u.shedAll.Store(on) }

// SetMisleading makes /healthz answer the opposite and /load answer 0 while on.
func (u *Upstream) SetMisleading(on bool) { u.misleadHealth.Store(on) }

// SilenceOpen makes all open connections silent for ever: their requests are
// neither executed nor answered. New connections work.
func (u *Upstream) SilenceOpen() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		c.silent.Store(true)
	}
	return len(u.conns)
}

// Executed returns how often each request was executed, by its ID.
func (u *Upstream) Executed() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.executed)
}

// Doubled returns the IDs of requests that were executed more than once.
func (u *Upstream) Doubled() []string {
	var ids []string
	for id, n := range u.Executed() {
		if n > 1 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Cancelled returns the IDs of requests whose client went away during execution.
func (u *Upstream) Cancelled() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.cancelled)
}

// Running returns the number of requests being executed.
func (u *Upstream) Running() int { return int(u.running.Load()) }

// Shed returns the number of requests shed.
func (u *Upstream) Shed() int { return int(u.shed.Load()) }

// Announced returns the number of announcements that the agent accepted.
func (u *Upstream) Announced() int { return int(u.announced.Load()) }

// Connections returns the number of open connections.
func (u *Upstream) Connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

func (u *Upstream) track(c net.Conn, s http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch s {
	case http.StateClosed, http.StateHijacked:
		delete(u.conns, c)
	case http.StateNew:
		u.connState(c)
	case http.StateActive, http.StateIdle:
	}
}

// connState is called with mu held. http.Server reports a new connection by
// ConnContext and ConnState in an order that it doesn't promise.
func (u *Upstream) connState(c net.Conn) *connState {
	if u.conns[c] == nil {
		u.conns[c] = &connState{}
	}
	return u.conns[c]
}

type connKey struct{}

func (u *Upstream) connContext(ctx context.Context, c net.Conn) context.Context {
	u.mu.Lock()
	defer u.mu.Unlock()
	return context.WithValue(ctx, connKey{}, u.connState(c))
}

func silent(ctx context.Context) bool {
	c, _ := ctx.Value(connKey{}).(*connState)
	return c != nil && c.silent.Load()
}

// load returns the load as it was LoadLag ago.
func (u *Upstream) load() int64 {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loads = append(u.loads, loadSample{at: now, load: u.running.Load() + u.waiting.Load()})
	for len(u.loads) > 1 && now.Sub(u.loads[1].at) >= u.cfg.LoadLag {
		u.loads = u.loads[1:]
	}
	return u.loads[0].load
}
