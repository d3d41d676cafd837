package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

var errSealed = errors.New("connection accepts no more requests")

// conn counts the bytes written and records when it last made progress. It hides the ReadFrom method of TCP
// connections, so that every write goes through Write.
type conn struct {
	net.Conn

	mu sync.Mutex
	// written is the number of bytes passed to writes, including writes that failed. Guarded by mu.
	written int64
	// sealed connections refuse writes. Guarded by mu.
	sealed bool
	// reading and writing report whether a call of Read or Write is blocked. Guarded by mu.
	reading, writing bool
	// lastProgress is when a call of Read or Write last began or returned, or restartProgress was called.
	// Guarded by mu.
	lastProgress time.Time
}

// Write counts the bytes before it writes them, so that a count of zero proves that the upstream got
// nothing.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p))
	c.writing = true
	c.lastProgress = time.Now()
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.lastProgress = time.Now()
	return n, err
}

// Read reads from the connection and records progress.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.lastProgress = time.Now()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.lastProgress = time.Now()
	return n, err
}

// restartProgress records progress and returns the number of bytes written.
func (c *conn) restartProgress() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastProgress = time.Now()
	return c.written
}

// seal makes further writes fail and returns the final number of bytes written.
func (c *conn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// stalledFor returns how long the upstream has made no progress. A blocked Read counts only if countReads
// is set. If no call that counts is blocked, the upstream is not the slow side, and stalledFor returns 0.
func (c *conn) stalledFor(now time.Time, countReads bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || countReads && c.reading {
		return now.Sub(c.lastProgress)
	}
	return 0
}
