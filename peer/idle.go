package peer

import (
	"context"
	"time"

	"endiveflow.example/endiveflow/h3conn"
)

// Run closes connections that have been without requests for IdleFor, until
// ctx ends. It then closes all connections and reports nil.
func (c *Client) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(c.cfg.IdleFor / 2)
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

// Close ends all connections; requests in flight fail.
func (c *Client) Close() {
	for _, conn := range c.takeAll() {
		conn.Close()
	}
}

func (c *Client) takeAll() []*h3conn.Conn {
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

// closeIdle also removes links to addresses without a usable connection, so
// that the map doesn't grow with each peer ever seen.
func (c *Client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, l := range c.links {
		if l.waiting > 0 {
			continue
		}
		if conn := l.Usable(); conn == nil || conn.RetireIdle(c.cfg.IdleFor) {
			delete(c.links, addr)
		}
	}
}
