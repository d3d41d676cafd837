package audit

import (
	"log/slog"
	"sync"
	"time"
)

// DefaultKeep is the number of events a trail keeps when its configuration sets none.
const DefaultKeep = 1000

// Event is one thing that a process did by itself.
type Event struct {
	// Time is set by Record when zero.
	Time time.Time `json:"time"`
	// Action is a fixed word such as "eject" or "drain".
	Action string `json:"action"`
	// Target names what was acted on, such as "upstream 10.0.0.1:80".
	Target string `json:"target"`
	// Reason says why, in words for an operator. It is never empty.
	Reason string `json:"reason"`
}

// Config configures a Trail.
type Config struct {
	// Keep is the number of events kept; 0 means DefaultKeep.
	Keep int
	// Log receives each event; nil means slog.Default.
	Log *slog.Logger
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Trail keeps the newest events. It is safe for concurrent use.
type Trail struct {
	cfg Config
	mu  sync.Mutex
	// events is a ring guarded by mu; next is the place of the next event.
	events []Event
	next   int
}

// New returns an empty trail.
func New(cfg Config) *Trail {
	if cfg.Keep <= 0 {
		cfg.Keep = DefaultKeep
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Trail{cfg: cfg}
}

// Record adds an event and logs it.
func (t *Trail) Record(e Event) {
	if e.Time.IsZero() {
		e.Time = t.cfg.Now()
	}
	t.cfg.Log.Info("audit", "action", e.Action, "target", e.Target, "reason", e.Reason)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.events) < t.cfg.Keep {
		t.events = append(t.events, e)
		return
	}
	t.events[t.next] = e
	t.next = (t.next + 1) % t.cfg.Keep
}

// Recent returns the kept events, oldest first.
func (t *Trail) Recent() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Event, 0, len(t.events))
	out = append(out, t.events[t.next:]...)
	return append(out, t.events[:t.next]...)
}
