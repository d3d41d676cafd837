package h3conn

import (
	"context"
	"fmt"
	"sync"

	"github.com/juju/errors"
)

// Link keeps one usable connection to one address. The zero value has none. A
// connection that is no longer usable is replaced beside it: it finishes the
// requests it carries. A Link is safe for concurrent use.
type Link struct {
	mu sync.Mutex
	// conn is nil before the first request. Guarded by mu.
	conn *Conn
	// dialing is closed when the dial under way ends, and nil without one. Guarded by mu.
	dialing chan struct{}
}

// Usable returns the connection if it takes requests, or nil.
func (l *Link) Usable() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usable()
}

// usable is called with mu held.
func (l *Link) usable() *Conn {
	if l.conn == nil || !l.conn.Usable() {
		return nil
	}
	return l.conn
}

// Get returns a usable connection. Without one, it dials; concurrent calls
// wait for the same dial, and one of them dials again if it fails. Errors are
// of kind ErrNotSent.
func (l *Link) Get(ctx context.Context, dial func(context.Context) (*Conn, error)) (*Conn, error) {
	for {
		conn, other := l.take()
		if conn != nil {
			return conn, nil
		}
		if other == nil {
			return l.dial(ctx, dial)
		}
		select {
		case <-other:
		case <-ctx.Done():
			return nil, errors.WithType(fmt.Errorf("waiting for connection: %w", ctx.Err()), ErrNotSent)
		}
	}
}

// take returns a usable connection, or the dial of another call, or neither
// when the caller must dial.
func (l *Link) take() (*Conn, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn := l.usable(); conn != nil {
		return conn, nil
	}
	if l.dialing != nil {
		return nil, l.dialing
	}
	l.dialing = make(chan struct{})
	return nil, nil
}

func (l *Link) dial(ctx context.Context, dial func(context.Context) (*Conn, error)) (*Conn, error) {
	conn, err := dial(ctx)
	l.mu.Lock()
	close(l.dialing)
	l.dialing = nil
	old := l.conn
	if err == nil {
		l.conn = conn
	}
	l.mu.Unlock()
	if err != nil {
		return nil, errors.WithType(fmt.Errorf("opening connection: %w", err), ErrNotSent)
	}
	if old != nil {
		old.Retire()
	}
	return conn, nil
}
