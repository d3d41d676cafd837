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

// SetDelay sets a delay that is added to each execution time.
func (u *Upstream) SetDelay(d time.Duration) { u.delay.Store(int64(d)) }

// SetBreak sets how answers fail.
func (u *Upstream) SetBreak(b Break) { u.breakMode.Store(int32(b)) }

// SetShedding makes the upstream shed every request while on.
func (u *Upstream) SetShedding(on bool) { u.shedAll.Store(on) }

// SetMisleading makes /healthz report the opposite and /load report 0 while on.
func (u *Upstream) SetMisleading(on bool) { u.misleadHealth.Store(on) }

// SilenceOpen makes all open connections permanently silent: their requests are neither executed nor
// answered. New connections work. It returns the number of silenced connections.
func (u *Upstream) SilenceOpen() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		c.silent.Store(true)
	}
	return len(u.conns)
}

// Executed returns the number of executions of each request, by its ID.
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

// Cancelled returns the IDs of requests whose client disconnected during execution.
func (u *Upstream) Cancelled() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.cancelled)
}

// Running returns the number of requests being executed.
func (u *Upstream) Running() int { return int(u.running.Load()) }

// Shed returns the number of requests that were shed.
func (u *Upstream) Shed() int { return int(u.shed.Load()) }

// Announced returns the number of announcements that the agent accepted.
func (u *Upstream) Announced() int { return int(u.announced.Load()) }

// Connections returns the number of open connections.
func (u *Upstream) Connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

func (u *Upstream) trackConn(c net.Conn, s http.ConnState) {
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

// connState returns the state of a connection, created on first use: http.Server calls ConnContext and
// ConnState for a new connection in an unspecified order. u.mu must be held.
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

func isSilent(ctx context.Context) bool {
	c, _ := ctx.Value(connKey{}).(*connState)
	return c != nil && c.silent.Load()
}

// load returns the load as of LoadLag ago.
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
