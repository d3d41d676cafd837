package peer

import (
	"context"
	"time"

	"endiveflow.example/endiveflow/h3conn"
)

// Run closes connections that have had no requests for IdleTimeout, until ctx ends. It then closes all
// connections, and the channel receives nil.
func (c *Client) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(c.cfg.IdleTimeout / 2)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				c.Close()
				done <- nil
				return
			case <-ticker.C:
				c.closeIdle()
			}
		}
	}()
	return done
}

// Close closes all connections; requests in flight fail.
func (c *Client) Close() {
	for _, conn := range c.removeAll() {
		conn.Close()
	}
}

func (c *Client) removeAll() []*h3conn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var conns []*h3conn.Conn
	for addr, l := range c.links {
		delete(c.links, addr)
		if conn := l.Usable(); conn != nil {
			conns = append(conns, conn)
		}
	}
	return conns
}

// closeIdle closes idle connections. It also removes links without a usable connection, so that the map
// doesn't grow with each peer ever contacted.
func (c *Client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, l := range c.links {
		if l.users > 0 {
			continue
		}
		if conn := l.Usable(); conn == nil || conn.RetireIdle(c.cfg.IdleTimeout) {
			delete(c.links, addr)
		}
	}
}
