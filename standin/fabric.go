package standin

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxDatagram is larger than any datagram on a path with an MTU of 1,500 bytes.
	maxDatagram = 2048
	// socketBuffer is the size of a socket's receive buffer in bytes.
	socketBuffer = 4 << 20
	// fabricHealthInterval is the time between readiness checks of the entries.
	fabricHealthInterval = 100 * time.Millisecond
	// fabricHealthTimeout bounds one readiness check.
	fabricHealthTimeout = 500 * time.Millisecond
	// maxFabricCallers bounds the number of callers, each of which takes a socket of the fabric.
	maxFabricCallers = 8192
)

// FabricEntry is an entry that may receive a service's datagrams.
type FabricEntry struct {
	// Address is the UDP address at which the entry receives datagrams.
	Address netip.AddrPort
	// HealthURL is the URL of the entry's readiness check; empty means always ready.
	HealthURL string
}

// FabricConfig configures the fabric in front of one service.
type FabricConfig struct {
	// Address is the address at which callers reach the service; port 0 picks a free port.
	Address netip.AddrPort
	// Entries are the initial entries.
	Entries []FabricEntry
	// Drop reports for each datagram whether it is lost; nil means that none is.
	Drop func() bool
	Log  *slog.Logger
}

// Fabric sends each datagram of a caller to a random ready entry. Entries see one address per caller, to
// which any entry can send answers.
type Fabric struct {
	cfg    FabricConfig
	socket *net.UDPConn
	ready  atomic.Pointer[[]netip.AddrPort]

	mu sync.Mutex
	// entries and callers are guarded by mu. callers holds the socket of each caller, at most maxFabricCallers.
	entries []FabricEntry
	callers map[netip.AddrPort]*net.UDPConn

	wg sync.WaitGroup
}

// NewFabric returns a fabric that is bound to the service's address.
func NewFabric(cfg FabricConfig) (*Fabric, error) {
	if cfg.Drop == nil {
		cfg.Drop = func() bool { return false }
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Address))
	if err != nil {
		return nil, fmt.Errorf("binding fabric address %s: %w", cfg.Address, err)
	}
	_ = socket.SetReadBuffer(socketBuffer)
	f := &Fabric{cfg: cfg, socket: socket, callers: make(map[netip.AddrPort]*net.UDPConn)}
	f.SetEntries(cfg.Entries)
	return f, nil
}

// Address returns the address at which callers reach the service.
func (f *Fabric) Address() netip.AddrPort {
	return f.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetEntries replaces the entries and checks their readiness at once. An entry receives datagrams after its
// first successful check.
func (f *Fabric) SetEntries(entries []FabricEntry) {
	f.mu.Lock()
	f.entries = append([]FabricEntry(nil), entries...)
	f.mu.Unlock()
	f.checkEntries(context.Background())
}

// Run forwards datagrams until ctx ends. The channel receives nil at the end.
func (f *Fabric) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, f.close)
	go func() {
		defer stop()
		f.wg.Go(func() { f.checkLoop(ctx) })
		f.readCallers(ctx)
		f.wg.Wait()
		done <- nil
	}()
	return done
}

func (f *Fabric) close() {
	f.socket.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.callers {
		c.Close()
	}
}

func (f *Fabric) readCallers(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, caller, err := f.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			continue
		}
		ready := *f.ready.Load()
		if len(ready) == 0 || f.cfg.Drop() {
			continue
		}
		conn, err := f.callerSocket(ctx, caller)
		if err != nil {
			f.cfg.Log.Warn("dropped datagram", "caller", caller, "error", err)
			continue
		}
		// A failed write is a lost datagram, as on a real network.
		_, _ = conn.WriteToUDPAddrPort(buf[:n], ready[rand.IntN(len(ready))])
	}
}

// callerSocket returns the caller's socket, whose address the entries see. It opens one if needed.
func (f *Fabric) callerSocket(ctx context.Context, caller netip.AddrPort) (*net.UDPConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if conn := f.callers[caller]; conn != nil {
		return conn, nil
	}
	if ctx.Err() != nil || len(f.callers) >= maxFabricCallers {
		return nil, fmt.Errorf("cannot open a socket for another caller: %d in use", len(f.callers))
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: f.Address().Addr().AsSlice()})
	if err != nil {
		return nil, fmt.Errorf("binding socket of caller %s: %w", caller, err)
	}
	f.callers[caller] = conn
	f.wg.Go(func() { f.readEntries(ctx, conn, caller) })
	return conn, nil
}

// readEntries forwards the entries' answers to one caller.
func (f *Fabric) readEntries(ctx context.Context, conn *net.UDPConn, caller netip.AddrPort) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil || f.cfg.Drop() {
			continue
		}
		_, _ = f.socket.WriteToUDPAddrPort(buf[:n], caller)
	}
}

func (f *Fabric) checkLoop(ctx context.Context) {
	tick := time.NewTicker(fabricHealthInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f.checkEntries(ctx)
		}
	}
}

// checkEntries checks all entries concurrently and records those that are ready.
func (f *Fabric) checkEntries(ctx context.Context) {
	f.mu.Lock()
	entries := f.entries
	f.mu.Unlock()
	healthy := make([]bool, len(entries))
	var wg sync.WaitGroup
	for i, e := range entries {
		wg.Go(func() { healthy[i] = checkHealth(ctx, e.HealthURL) })
	}
	wg.Wait()
	ready := make([]netip.AddrPort, 0, len(entries))
	for i, e := range entries {
		if healthy[i] {
			ready = append(ready, e.Address)
		}
	}
	f.ready.Store(&ready)
}

func checkHealth(ctx context.Context, url string) bool {
	if url == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, fabricHealthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
