package packetnode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/platform"
)

// membersPrefix is the kind of the member records in the store.
const membersPrefix = "endiveflow-members/"

// Roles of member records.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

const (
	// listAlone is the pause between lists while no entry is heard from, listPause otherwise.
	listAlone = time.Second
	listPause = 10 * time.Second
)

// memberRecord is what a process writes of itself into the store at its start.
// It holds nothing that changes, so that an unchanged record costs no write.
type memberRecord struct {
	Role string     `json:"role"`
	IP   netip.Addr `json:"ip"`
	Zone string     `json:"zone"`
	// Service is the service of an agent's host.
	Service string `json:"service,omitempty"`
}

func (r memberRecord) key() string { return membersPrefix + r.Role + "-" + r.IP.String() }

// members keeps the process's record in the store and the addresses of entries
// that the store and the settings name.
type members struct {
	own   memberRecord
	store *platform.Client
	log   *eventlog.Log
	// alone says whether no entry is heard from.
	alone func() bool
	// found is called with the addresses after each list.
	found func()

	mu sync.Mutex
	// contacts is guarded by mu.
	contacts map[uint32]string
}

func newMembers(m *members) *members {
	m.contacts = make(map[uint32]string)
	return m
}

// seed adds the entries that the settings name.
func (m *members) seed(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range seeds {
		m.contacts[flow.EndpointOf(s).IP] = roleEntry
	}
}

// reload takes the seeds of changed settings until ctx ends.
func (m *members) reload(ctx context.Context, changes <-chan platform.Settings) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-changes:
				m.seed(s.Seeds)
				m.found()
			}
		}
	}()
	return done
}

// addresses returns the processes that the store and the settings name; role "" means all.
func (m *members) addresses(role string) []uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := flow.EndpointOf(netip.AddrPortFrom(m.own.IP, 0)).IP
	var out []uint32
	for ip, r := range m.contacts {
		if ip != own && (role == "" || r == role) {
			out = append(out, ip)
		}
	}
	return out
}

// run writes the record and reads those of others until ctx ends.
func (m *members) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		failures, written := 0, false
		backoff := platform.Backoff{Base: storeRetryBase, Max: storeRetryMax}
		for ctx.Err() == nil {
			err := m.list(ctx)
			if err == nil && !written {
				err = m.write(ctx)
				written = err == nil
			}
			if err != nil {
				failures++
				if failures == 1 && ctx.Err() == nil {
					m.log.Warn("members not read or written", "error", err.Error(), "written", written)
				}
				_ = backoff.Wait(ctx, failures)
				continue
			}
			failures = 0
			if m.alone() {
				pause(ctx, listAlone)
			} else {
				pause(ctx, listPause)
			}
		}
	}()
	return done
}

// list reads the records; stale ones do, since processes that are up tell each other.
func (m *members) list(ctx context.Context) error {
	l, err := m.store.List(ctx, membersPrefix, platform.Stale)
	if err != nil {
		return fmt.Errorf("listing members: %w", err)
	}
	m.mu.Lock()
	for _, o := range l.Objects {
		var r memberRecord
		if err := json.Unmarshal(o.Value, &r); err != nil || !r.IP.Is4() || r.key() != o.Key {
			m.log.Warn("member record is not readable", "key", o.Key, "revision", o.Version)
			continue
		}
		m.contacts[flow.EndpointOf(netip.AddrPortFrom(r.IP, 0)).IP] = r.Role
	}
	m.mu.Unlock()
	m.found()
	return nil
}

// write creates or replaces the process's record.
func (m *members) write(ctx context.Context) error {
	value, err := json.Marshal(m.own)
	if err != nil {
		return fmt.Errorf("encoding the member record: %w", err)
	}
	_, err = m.store.Put(ctx, m.own.key(), value, 0)
	if err == nil || !errors.Is(err, platform.Conflict) {
		return err
	}
	// A former process at this address left its record.
	o, err := m.store.Get(ctx, m.own.key())
	if err != nil || sameJSON(o.Value, value) {
		return err
	}
	_, err = m.store.Put(ctx, m.own.key(), value, o.Version)
	return err
}

func sameJSON(a, b []byte) bool {
	var x, y memberRecord
	return bytes.Equal(a, b) || json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && x == y
}
