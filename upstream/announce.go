package upstream

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
)

// Announcement intervals.
const (
	// DefaultInterval is the time between announcements.
	DefaultInterval = 2 * time.Second
	// DefaultMissed is the number of missed announcements after which the upstream is gone.
	DefaultMissed = 3
)

// State is what an upstream says of itself.
type State string

// States of an upstream.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateDraining State = "draining"
	// StateGone is set when announcements stop; an upstream doesn't send it.
	StateGone State = "gone"
)

// Announcement is the body of POST /announce.
type Announcement struct {
	Service string `json:"service"`
	// Address is where the upstream takes requests, on the agent's VM.
	Address netip.AddrPort `json:"address"`
	// Slots is the number of requests that the upstream runs at a time.
	Slots int   `json:"slots"`
	State State `json:"state"`
}

// ParseAnnouncement reads and checks the body of POST /announce. Errors are of
// kind errors.NotValid.
func ParseAnnouncement(body []byte) (Announcement, error) {
	var a Announcement
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		return Announcement{}, errors.NewNotValid(err, "announcement")
	}
	switch {
	case a.Service == "":
		return Announcement{}, errors.NotValidf("announcement without service")
	case !a.Address.IsValid() || a.Address.Port() == 0:
		return Announcement{}, errors.NotValidf("announcement with address %q", a.Address)
	case a.Slots < 1 || a.Slots > 1<<16-1:
		return Announcement{}, errors.NotValidf("announcement with %d slots", a.Slots)
	case a.State != StateStarting && a.State != StateReady && a.State != StateDraining:
		return Announcement{}, errors.NotValidf("announcement with state %q", a.State)
	}
	return a, nil
}

// AnnouncementsConfig configures Announcements.
type AnnouncementsConfig struct {
	// Service is the service of the agent; announcements of others are rejected. Empty accepts any.
	Service string
	// Host is the agent's own VM. An announcement that names another host would
	// send the agent's requests there and is rejected; the zero value accepts any.
	Host netip.Addr
	// Interval is the time between announcements; 0 means DefaultInterval.
	Interval time.Duration
	// Missed is the number of missed announcements; 0 means DefaultMissed.
	Missed int
	// OnChange is called for each change of anything announced, one call at a
	// time and in order. It must not call back into the Announcements.
	OnChange func(old, current Announcement)
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Announcements holds the newest announcement. It is safe for concurrent use.
type Announcements struct {
	cfg AnnouncementsConfig
	mu  sync.Mutex
	// current has StateGone before the first announcement and after expiry. Guarded by mu.
	current Announcement
	// at is when current arrived. Guarded by mu.
	at time.Time
}

var announceTotal = func(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`endiveflow_upstream_announcements_total{result=%q}`, result))
}

// NewAnnouncements returns announcements of an upstream that has not announced itself yet.
func NewAnnouncements(cfg AnnouncementsConfig) *Announcements {
	cfg.Interval = cmp.Or(cfg.Interval, DefaultInterval)
	cfg.Missed = cmp.Or(cfg.Missed, DefaultMissed)
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Announcements{cfg: cfg, current: Announcement{State: StateGone}}
}

// Accept parses the body of POST /announce and takes it as current. Errors
// are of kind errors.NotValid.
func (a *Announcements) Accept(body []byte) error {
	next, err := ParseAnnouncement(body)
	if err == nil {
		err = a.foreign(next)
	}
	if err != nil {
		announceTotal("rejected").Inc()
		return err
	}
	announceTotal("accepted").Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = a.cfg.Now()
	a.change(next)
	return nil
}

// foreign returns why an announcement is not one of the agent's own upstream, or nil.
func (a *Announcements) foreign(next Announcement) error {
	if a.cfg.Service != "" && next.Service != a.cfg.Service {
		return errors.NotValidf("announcement of service %q to an agent of %q", next.Service, a.cfg.Service)
	}
	if ip := next.Address.Addr(); a.cfg.Host.IsValid() && !ip.IsLoopback() && ip != a.cfg.Host {
		return errors.NotValidf("announcement of %s, which is not on this host %s,", next.Address, a.cfg.Host)
	}
	return nil
}

// Current returns the newest announcement; its state is StateGone when there is none.
func (a *Announcements) Current() Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire()
	return a.current
}

// Run reports the loss of announcements in time, until ctx ends. The channel
// then receives nil.
func (a *Announcements) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(a.cfg.Interval / 4)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-ticker.C:
				a.Current()
			}
		}
	}()
	return done
}

// expire is called with mu held.
func (a *Announcements) expire() {
	if a.current.State == StateGone {
		return
	}
	if a.cfg.Now().Sub(a.at) < time.Duration(a.cfg.Missed)*a.cfg.Interval {
		return
	}
	gone := a.current
	gone.State = StateGone
	announceTotal("expired").Inc()
	a.change(gone)
}

// change is called with mu held.
func (a *Announcements) change(next Announcement) {
	old := a.current
	a.current = next
	if old != next && a.cfg.OnChange != nil {
		a.cfg.OnChange(old, next)
	}
}
