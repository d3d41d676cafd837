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
	// fabricHealthEvery is how often the fabric asks entries whether they are ready.
	fabricHealthEvery = 100 * time.Millisecond
	// fabricHealthTimeout bounds one readiness check.
	fabricHealthTimeout = 500 * time.Millisecond
	// maxFabricCallers bounds the sockets that the fabric holds for callers.
	maxFabricCallers = 8192
)

// FabricEntry is an entry that may receive datagrams of a service.
type FabricEntry struct {
	// Address is the entry's UDP address of the service.
	Address netip.AddrPort
	// Health is the URL of the entry's readiness check; empty means always ready.
	Health string
}

// FabricConfig configures the fabric in front of one service.
type FabricConfig struct {
	// Listen is the service's address towards callers; port 0 picks one.
	Listen netip.AddrPort
	// Entries are the entries at the start.
	Entries []FabricEntry
	// Drop decides for each datagram whether it is lost; nil loses none.
	Drop func() bool
	Log  *slog.Logger
}

// Fabric sends each datagram of a caller to a random ready entry. Entries see
// one address per caller, which any entry can send answers to.
type Fabric struct {
	cfg    FabricConfig
	socket *net.UDPConn
	ready  atomic.Pointer[[]netip.AddrPort]

	mu sync.Mutex
	// entries and callers are guarded by mu; callers holds at most maxFabricCallers sockets.
	entries []FabricEntry
	callers map[netip.AddrPort]*net.UDPConn

	wg sync.WaitGroup
}

// NewFabric binds the service's address.
func NewFabric(cfg FabricConfig) (*Fabric, error) {
	if cfg.Drop == nil {
		cfg.Drop = func() bool { return false }
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, fmt.Errorf("binding fabric address %s: %w", cfg.Listen, err)
	}
	_ = socket.SetReadBuffer(socketBuffer)
	f := &Fabric{cfg: cfg, socket: socket, callers: make(map[netip.AddrPort]*net.UDPConn)}
	f.SetEntries(cfg.Entries)
	return f, nil
}

// Address returns the service's address towards callers.
func (f *Fabric) Address() netip.AddrPort {
	return f.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetEntries replaces the entries. They receive datagrams after their first successful check.
func (f *Fabric) SetEntries(entries []FabricEntry) {
	f.mu.Lock()
	f.entries = append([]FabricEntry(nil), entries...)
	f.mu.Unlock()
	f.checkEntries(context.Background())
}

// Run forwards datagrams until ctx ends, and reports its end on the channel.
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
			f.cfg.Log.Warn("fabric dropped a datagram", "caller", caller, "error", err)
			continue
		}
		// A failed write is a lost datagram, as on a real network.
		_, _ = conn.WriteToUDPAddrPort(buf[:n], ready[rand.IntN(len(ready))])
	}
}

// callerSocket returns the socket whose address entries see for a caller.
func (f *Fabric) callerSocket(ctx context.Context, caller netip.AddrPort) (*net.UDPConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if conn := f.callers[caller]; conn != nil {
		return conn, nil
	}
	if ctx.Err() != nil || len(f.callers) >= maxFabricCallers {
		return nil, fmt.Errorf("no socket for another caller: %d in use", len(f.callers))
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: f.Address().Addr().AsSlice()})
	if err != nil {
		return nil, fmt.Errorf("binding socket of caller %s: %w", caller, err)
	}
	f.callers[caller] = conn
	f.wg.Go(func() { f.readEntries(ctx, conn, caller) })
	return conn, nil
}

// readEntries passes the entries' answers to one caller.
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
	tick := time.NewTicker(fabricHealthEvery)
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

// checkEntries asks all entries at once and keeps those that are ready.
func (f *Fabric) checkEntries(ctx context.Context) {
	f.mu.Lock()
	entries := f.entries
	f.mu.Unlock()
	healthy := make([]bool, len(entries))
	var wg sync.WaitGroup
	for i, e := range entries {
		wg.Go(func() { healthy[i] = checkHealth(ctx, e.Health) })
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
