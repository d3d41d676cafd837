package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

var errSealed = errors.New("connection takes no more requests")

// conn counts what is written and remembers when it last made progress. It
// hides ReadFrom of TCP connections, so that every write passes through Write.
type conn struct {
	net.Conn

	mu sync.Mutex
	// written is the number of bytes handed to the kernel, attempts included. Guarded by mu.
	written int64
	// sealed connections refuse writes. Guarded by mu.
	sealed bool
	// reading and writing tell that a call is waiting. Guarded by mu.
	reading, writing bool
	// progress is when bytes last moved or a call began to wait. Guarded by mu.
	progress time.Time
}

// Write counts the bytes before they are handed over, so that a count of zero
// proves that the upstream got nothing.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p))
	c.writing = true
	c.progress = time.Now()
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.progress = time.Now()
	return n, err
}

// Read notes progress.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.progress = time.Now()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.progress = time.Now()
	return n, err
}

// mark returns the count of written bytes and starts the progress clock.
func (c *conn) mark() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress = time.Now()
	return c.written
}

// seal stops writes and returns the count of written bytes, which is final.
func (c *conn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// quiet returns for how long the upstream has shown no progress. Waiting in
// Read counts only if reads is set. Otherwise the other side of the exchange
// is the slow one, and quiet returns 0.
func (c *conn) quiet(now time.Time, reads bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || reads && c.reading {
		return now.Sub(c.progress)
	}
	return 0
}
