package tunnel

import (
	"net"
	"time"
)

// Close closes the socket.
func (c *Conn) Close() error { return c.cfg.Socket.Close() }

// LocalAddr returns the address of the socket.
func (c *Conn) LocalAddr() net.Addr { return c.cfg.Socket.LocalAddr() }

// SetDeadline sets the deadline of the socket.
func (c *Conn) SetDeadline(t time.Time) error { return c.cfg.Socket.SetDeadline(t) }

// SetReadDeadline sets the read deadline of the socket.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.cfg.Socket.SetReadDeadline(t) }

// SetWriteDeadline sets the write deadline of the socket.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.cfg.Socket.SetWriteDeadline(t) }

// SetReadBuffer sets the size of the socket's receive buffer in bytes.
func (c *Conn) SetReadBuffer(n int) error { return c.cfg.Socket.SetReadBuffer(n) }

// SetWriteBuffer sets the size of the socket's send buffer in bytes.
func (c *Conn) SetWriteBuffer(n int) error { return c.cfg.Socket.SetWriteBuffer(n) }
