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
	// DefaultAnnouncementInterval is the time between announcements.
	DefaultAnnouncementInterval = 2 * time.Second
	// DefaultMissedAnnouncements is the number of missed announcements after which the upstream counts as gone.
	DefaultMissedAnnouncements = 3
)

// State is the state that an upstream announces.
type State string

// States of an upstream.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateDraining State = "draining"
	// StateGone is the state when there are no announcements; an upstream doesn't send it.
	StateGone State = "gone"
)

// Announcement is the body of POST /announce.
type Announcement struct {
	Service string `json:"service"`
	// Address is the address at which the upstream accepts requests, on the agent's VM.
	Address netip.AddrPort `json:"address"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int   `json:"slots"`
	State State `json:"state"`
}

// ParseAnnouncement parses and validates the body of POST /announce. Errors are of kind errors.NotValid.
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
	// Service is the service of the agent; announcements of other services are rejected. If it is empty,
	// any service is accepted.
	Service string
	// Host is the agent's own VM. An announcement with an address on another host is rejected, because it
	// would direct the agent's requests there. The zero value accepts any host.
	Host netip.Addr
	// Interval is the time between announcements; 0 means DefaultAnnouncementInterval.
	Interval time.Duration
	// MissedAnnouncements is the number of missed announcements; 0 means
	// DefaultMissedAnnouncements.
	MissedAnnouncements int
	// OnChange is called for each change of the announcement, one call at a time and in order. It must not
	// call methods of the Announcements.
	OnChange func(old, current Announcement)
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Announcements holds the latest announcement. It is safe for concurrent use.
type Announcements struct {
	cfg AnnouncementsConfig
	mu  sync.Mutex
	// current has StateGone before the first announcement and after expiry. Guarded by mu.
	current Announcement
	// receivedAt is when the last announcement arrived. Guarded by mu.
	receivedAt time.Time
}

var announceTotal = func(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`endiveflow_upstream_announcements_total{result=%q}`, result))
}

// NewAnnouncements returns an Announcements without any announcement, whose state is StateGone.
func NewAnnouncements(cfg AnnouncementsConfig) *Announcements {
	cfg.Interval = cmp.Or(cfg.Interval, DefaultAnnouncementInterval)
	cfg.MissedAnnouncements = cmp.Or(cfg.MissedAnnouncements, DefaultMissedAnnouncements)
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Announcements{cfg: cfg, current: Announcement{State: StateGone}}
}

// Accept parses the body of POST /announce and makes it the current announcement. Errors are of kind
// errors.NotValid.
func (a *Announcements) Accept(body []byte) error {
	next, err := ParseAnnouncement(body)
	if err == nil {
		err = a.checkOrigin(next)
	}
	if err != nil {
		announceTotal("rejected").Inc()
		return err
	}
	announceTotal("accepted").Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receivedAt = a.cfg.Now()
	a.setCurrent(next)
	return nil
}

// checkOrigin returns an error if an announcement is not from the agent's own upstream.
func (a *Announcements) checkOrigin(next Announcement) error {
	if a.cfg.Service != "" && next.Service != a.cfg.Service {
		return errors.NotValidf("announcement of service %q to an agent of %q", next.Service, a.cfg.Service)
	}
	if ip := next.Address.Addr(); a.cfg.Host.IsValid() && !ip.IsLoopback() && ip != a.cfg.Host {
		return errors.NotValidf("announcement of %s, which is not on this host %s,", next.Address, a.cfg.Host)
	}
	return nil
}

// Current returns the latest announcement; its state is StateGone if there is none.
func (a *Announcements) Current() Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire()
	return a.current
}

// Run checks periodically whether the announcement has expired, so that OnChange is called in time, until
// ctx ends. The channel then receives nil.
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

// expire sets the state to StateGone if the announcement has expired. It must be called with mu held.
func (a *Announcements) expire() {
	if a.current.State == StateGone {
		return
	}
	if a.cfg.Now().Sub(a.receivedAt) < time.Duration(a.cfg.MissedAnnouncements)*a.cfg.Interval {
		return
	}
	gone := a.current
	gone.State = StateGone
	announceTotal("expired").Inc()
	a.setCurrent(gone)
}

// setCurrent sets the current announcement and calls OnChange if it differs. It must be called with mu
// held.
func (a *Announcements) setCurrent(next Announcement) {
	old := a.current
	a.current = next
	if old != next && a.cfg.OnChange != nil {
		a.cfg.OnChange(old, next)
	}
}
