package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Modes of a proxy.
const (
	passing int32 = iota
	delaying
	resetting
	// silent discards all bytes, oneWay only those sent to the store.
	silent
	oneWay
	modes
)

var modeNames = [modes]string{"passing", "delayed", "reset", "silent", "cut one way"}

// proxy forwards connections between the processes and the store, and injects network faults.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
}

// proxyDelay is the delay of each read in mode delaying.
const proxyDelay = 200 * time.Millisecond

func newProxy(ctx context.Context, target string) (*proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening as the proxy: %w", err)
	}
	return &proxy{listener: listener, target: target}, nil
}

// Addr returns the address of the proxy.
func (p *proxy) Addr() string { return p.listener.Addr().String() }

// serve forwards connections until the listener is closed.
func (p *proxy) serve(ctx context.Context) <-chan error {
	return background(func() {
		for {
			conn, err := p.listener.Accept()
			if err != nil {
				return
			}
			go p.forward(ctx, conn)
		}
	})
}

func (p *proxy) forward(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	store, err := (&net.Dialer{}).DialContext(ctx, "tcp4", p.target)
	if err != nil {
		return
	}
	defer func() { _ = store.Close() }()
	ended := make(chan struct{}, 2)
	go p.copy(store, conn, true, ended)
	go p.copy(conn, store, false, ended)
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

func (p *proxy) copy(to io.Writer, from io.Reader, towardsStore bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch mode := p.mode.Load(); {
		case mode == resetting:
			return
		case mode == silent, mode == oneWay && towardsStore:
			continue
		case mode == delaying:
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
