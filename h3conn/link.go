package h3conn

import (
	"context"
	"fmt"
	"sync"

	"github.com/juju/errors"
)

// Link keeps one usable connection to one address. The zero value has none. A connection that is no longer
// usable is replaced by a new one, while it finishes its requests in flight. A Link is safe for concurrent
// use.
type Link struct {
	mu sync.Mutex
	// conn is nil before the first request. Guarded by mu.
	conn *Conn
	// dialing is the dial in progress, or nil. Guarded by mu.
	dialing *dialing
}

// dialing is one dial that several calls wait for.
type dialing struct {
	// done is closed when conn and err are set.
	done chan struct{}
	conn *Conn
	err  error
}

// Usable returns the connection if it accepts requests, or nil.
func (l *Link) Usable() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usable()
}

// usable implements Usable. It must be called with mu held.
func (l *Link) usable() *Conn {
	if l.conn == nil || !l.conn.Usable() {
		return nil
	}
	return l.conn
}

// Get returns a usable connection. If there is none, concurrent calls wait for a single dial. The dial
// continues after the context of the call has ended, so that calls with little time left still lead to a
// connection; the function dial must bound its own time. Errors are of kind ErrNotSent.
func (l *Link) Get(ctx context.Context, dial func(context.Context) (*Conn, error)) (*Conn, error) {
	l.mu.Lock()
	if conn := l.usable(); conn != nil {
		l.mu.Unlock()
		return conn, nil
	}
	d := l.dialing
	if d == nil {
		d = &dialing{done: make(chan struct{})}
		l.dialing = d
		go l.dial(context.WithoutCancel(ctx), d, dial)
	}
	l.mu.Unlock()
	select {
	case <-d.done:
	case <-ctx.Done():
		return nil, errors.WithType(fmt.Errorf("waiting for connection: %w", ctx.Err()), ErrNotSent)
	}
	if d.err != nil {
		return nil, errors.WithType(fmt.Errorf("opening connection: %w", d.err), ErrNotSent)
	}
	return d.conn, nil
}

func (l *Link) dial(ctx context.Context, d *dialing, dial func(context.Context) (*Conn, error)) {
	defer close(d.done)
	d.conn, d.err = dial(ctx)
	l.mu.Lock()
	l.dialing = nil
	old := l.conn
	if d.err == nil {
		l.conn = d.conn
	}
	l.mu.Unlock()
	if d.err == nil && old != nil {
		old.Retire()
	}
}
