package audit

import (
	"log/slog"
	"sync"
	"time"
)

// DefaultMaxEvents is the default number of events kept by a Trail.
const DefaultMaxEvents = 1000

// Event is an action that a process took on its own.
type Event struct {
	// Time is set by Record when zero.
	Time time.Time `json:"time"`
	// Action is a fixed identifier such as "eject" or "drain".
	Action string `json:"action"`
	// Target names the object of the action, such as "upstream 10.0.0.1:80".
	Target string `json:"target"`
	// Reason explains the action to operators. It is never empty.
	Reason string `json:"reason"`
}

// Config configures a Trail.
type Config struct {
	// MaxEvents is the number of events kept; 0 means DefaultMaxEvents.
	MaxEvents int
	// Log receives each event; nil means slog.Default.
	Log *slog.Logger
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Trail keeps the most recent events. It is safe for concurrent use.
type Trail struct {
	cfg Config
	mu  sync.Mutex
	// mu guards the fields below. events is a ring buffer. Once it is full, next is the index of the oldest
	// event, which the next one replaces.
	events []Event
	next   int
}

// New returns an empty trail.
func New(cfg Config) *Trail {
	if cfg.MaxEvents <= 0 {
		cfg.MaxEvents = DefaultMaxEvents
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
	if len(t.events) < t.cfg.MaxEvents {
		t.events = append(t.events, e)
		return
	}
	t.events[t.next] = e
	t.next = (t.next + 1) % t.cfg.MaxEvents
}

// Recent returns the events that are kept, oldest first.
func (t *Trail) Recent() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Event, 0, len(t.events))
	out = append(out, t.events[t.next:]...)
	return append(out, t.events[:t.next]...)
}
