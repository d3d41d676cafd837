package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/admit"
	"endiveflow.example/endiveflow/audit"
	"endiveflow.example/endiveflow/ledger"
	"endiveflow.example/endiveflow/outlier"
	"endiveflow.example/endiveflow/retry"
)

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	cfg      Config
	slots    *slots
	peers    *peerTable
	budget   *retry.Budget
	detector *outlier.Detector
	ledger   *ledger.Ledger
	// inherited holds the ledgers of other incarnations.
	inherited *inherited
	refusals  *refusals
	// ids numbers the requests.
	ids atomic.Uint64
	// base ends when Shutdown gives up; runs with a key depend on it.
	base context.Context
	stop context.CancelFunc
	// keyed counts the runs with a key.
	keyed sync.WaitGroup
}

// New returns a handler.
func New(cfg Config) *Handler {
	cfg = withDefaults(cfg)
	policy := cfg.Policy()
	h := &Handler{
		cfg:       cfg,
		budget:    retry.NewBudget(retry.BudgetConfig{}),
		detector:  outlier.New(outlier.Config{SlowStart: policy.SlowStart, MaxEjected: policy.MaxEjected}),
		ledger:    ledger.New(ledger.Config{Bytes: policy.LedgerBytes, Window: policy.KeyWindow}),
		inherited: newInherited(),
		refusals:  newRefusals(cfg.Trail),
		peers:     newPeerTable(),
	}
	h.slots = newSlots(admit.SchedulerConfig{Slots: cfg.Slots, Reserved: policy.ReservedSlots, Rand: cfg.Rand}, cfg.Now)
	h.base, h.stop = context.WithCancel(context.Background())
	return h
}

func withDefaults(cfg Config) Config {
	if cfg.AcceptsWork == nil {
		cfg.AcceptsWork = func() bool { return true }
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	if cfg.Trail == nil {
		cfg.Trail = audit.New(audit.Config{Now: cfg.Now})
	}
	if cfg.Successor == nil {
		cfg.Successor = func(Key) (netip.AddrPort, bool) { return netip.AddrPort{}, false }
	}
	if cfg.MaxBody <= 0 {
		cfg.MaxBody = DefaultMaxBody
	}
	if cfg.MaxAnswer <= 0 {
		cfg.MaxAnswer = DefaultMaxAnswer
	}
	return cfg
}

// SetSlots changes the number of slots of the local upstream; 0 means that there is no upstream.
func (h *Handler) SetSlots(n int) {
	h.slots.setTotal(n)
	h.refresh(true)
}

// BeginSlowStart begins the slow start of the local upstream.
func (h *Handler) BeginSlowStart() {
	h.detector.BeginSlowStart(h.cfg.Self.Peer, h.cfg.Now())
	h.refresh(true)
}

// RecordHealth notes what the local upstream's health endpoint says.
func (h *Handler) RecordHealth(healthy bool) {
	h.detector.RecordHealth(outlier.HealthReport{Target: h.cfg.Self.Peer, Healthy: healthy}, h.cfg.Now())
}

// Load returns the load of the local upstream.
func (h *Handler) Load() admit.Load { return h.slots.load() }

// Shutdown waits until the runs with a key have ended. Call it when no more requests are served. When ctx ends first, it cancels
// them and returns the error of ctx.
func (h *Handler) Shutdown(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		h.keyed.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		h.stop()
		<-ended
		return ctx.Err()
	}
}

// ServeHTTP serves a request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.refresh(false)
	j, fault := h.read(r)
	if fault != nil {
		h.write(w, *fault)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	if j.repeatable {
		h.write(w, h.run(ctx, j))
		return
	}
	h.serveKeyed(ctx, w, j)
}

// PeerHandler serves the requests that other agents hand over.
func (h *Handler) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.refresh(false)
		mode, class, load := r.Header.Get(HeaderHandover), r.Header.Get(HeaderClass), r.Header.Get(HeaderLoad)
		j, fault := h.read(r)
		if fault != nil {
			h.writeToPeer(w, *fault)
			return
		}
		ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
		defer cancel()
		if mode == handoverHome {
			h.writeToPeer(w, h.runAtHome(ctx, j))
			return
		}
		j.class = admit.ParseClass(class)
		switch mode {
		case handoverQueue:
			h.writeToPeer(w, h.runQueued(ctx, j))
		case handoverLighter:
			h.writeToPeer(w, h.runIfLighter(ctx, j, load))
		default:
			h.writeToPeer(w, h.runOnFreeSlot(ctx, j))
		}
	})
}
