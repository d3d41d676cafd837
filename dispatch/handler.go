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
	// imported holds the ledgers of other incarnations.
	imported *importedLedgers
	refusals *refusals
	// lastID is the latest request ID.
	lastID atomic.Uint64
	// keyedCtx is the parent context of the runs with a key. Shutdown cancels it with cancelKeyed when the
	// context of Shutdown ends.
	keyedCtx    context.Context
	cancelKeyed context.CancelFunc
	// keyedRuns counts the active runs with a key.
	keyedRuns sync.WaitGroup
}

// New returns a handler with the given configuration.
func New(cfg Config) *Handler {
	cfg = withDefaults(cfg)
	policy := cfg.Policy()
	h := &Handler{
		cfg:      cfg,
		budget:   retry.NewBudget(retry.BudgetConfig{}),
		detector: outlier.New(outlier.Config{SlowStart: policy.SlowStart, MaxEjected: policy.MaxEjected}),
		ledger:   ledger.New(ledger.Config{MaxBytes: policy.LedgerBytes, KeyWindow: policy.KeyWindow}),
		imported: newImportedLedgers(),
		refusals: newRefusals(cfg.Trail),
		peers:    newPeerTable(),
	}
	h.slots = newSlots(admit.SchedulerConfig{Slots: cfg.Slots, Reserved: policy.ReservedSlots, Rand: cfg.Rand}, cfg.Now)
	h.keyedCtx, h.cancelKeyed = context.WithCancel(context.Background())
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
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if cfg.MaxAnswerBytes <= 0 {
		cfg.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	return cfg
}

// SetSlots sets the number of slots of the local upstream; 0 means that there is no upstream.
func (h *Handler) SetSlots(n int) {
	h.slots.setTotal(n)
	h.refresh(true)
}

// BeginSlowStart begins the slow start of the local upstream.
func (h *Handler) BeginSlowStart() {
	h.detector.BeginSlowStart(h.cfg.Self.Peer, h.cfg.Now())
	h.refresh(true)
}

// RecordHealth records whether the local upstream's health endpoint reports it as healthy.
func (h *Handler) RecordHealth(healthy bool) {
	h.detector.RecordHealth(outlier.HealthReport{Addr: h.cfg.Self.Peer, Healthy: healthy}, h.cfg.Now())
}

// Load returns the load of the local upstream.
func (h *Handler) Load() admit.Load { return h.slots.load() }

// Shutdown waits until the runs with a key have ended. Call it when no more requests are served. If ctx
// ends first, Shutdown cancels the runs and returns the error of ctx.
func (h *Handler) Shutdown(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		h.keyedRuns.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		h.cancelKeyed()
		<-ended
		return ctx.Err()
	}
}

// ServeHTTP serves a request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.refresh(false)
	j, rejection := h.read(r)
	if rejection != nil {
		h.writeToCaller(w, *rejection)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	if j.repeatable {
		h.writeToCaller(w, h.run(ctx, j))
		return
	}
	h.serveKeyed(ctx, w, j)
}

// PeerHandler serves the requests that other agents hand over.
func (h *Handler) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.refresh(false)
		handover, class, load := r.Header.Get(HeaderHandover), r.Header.Get(HeaderClass), r.Header.Get(HeaderLoad)
		j, rejection := h.read(r)
		if rejection != nil {
			h.writeToPeer(w, *rejection)
			return
		}
		ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
		defer cancel()
		if handover == handoverHome {
			h.writeToPeer(w, h.runAtHome(ctx, j))
			return
		}
		j.class = admit.ParseClass(class)
		switch handover {
		case handoverQueue:
			h.writeToPeer(w, h.runQueued(ctx, j))
		case handoverLessLoaded:
			h.writeToPeer(w, h.runIfLessLoaded(ctx, j, load))
		default:
			h.writeToPeer(w, h.runOnFreeSlot(ctx, j))
		}
	})
}
