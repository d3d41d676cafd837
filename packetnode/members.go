package packetnode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/absence"
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

var (
	recordsWritten = metrics.NewCounter("endiveflow_packetnode_member_records_written_total")
	recordsRemoved = metrics.NewCounter("endiveflow_packetnode_member_records_removed_total")
)

// memberRecord is what a process keeps of itself in the store. It holds nothing
// that changes, so that an unchanged record costs no write.
type memberRecord struct {
	Role string     `json:"role"`
	IP   netip.Addr `json:"ip"`
	Zone string     `json:"zone"`
	// Service is the service of an agent's host.
	Service string `json:"service,omitempty"`
}

func (r memberRecord) key() string { return membersPrefix + r.Role + "-" + r.IP.String() }

// members keeps the process's record in the store and the addresses of
// processes that the store and the settings name.
type members struct {
	own   memberRecord
	store *platform.Client
	log   *eventlog.Log
	// heard returns the processes that are heard from. At an entry they are all that live.
	heard func() []uint32
	// found is called with the addresses after each list.
	found func()
	now   func() time.Duration
	// silent is used by the goroutine of run alone.
	silent absence.Tracker

	mu sync.Mutex
	// All below is guarded by mu. recorded is replaced by each list, seeds by each reload.
	recorded map[uint32]string
	seeds    []uint32
}

// seed replaces the entries that the settings name.
func (m *members) seed(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = nil
	for _, s := range seeds {
		m.seeds = append(m.seeds, flow.EndpointOf(s).IP)
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
	own := addressOf(m.own.IP)
	var out []uint32
	for ip, r := range m.recorded {
		if ip != own && (role == "" || r == role) {
			out = append(out, ip)
		}
	}
	for _, ip := range m.seeds {
		if ip != own && m.recorded[ip] == "" && role != roleAgent {
			out = append(out, ip)
		}
	}
	return out
}

func addressOf(ip netip.Addr) uint32 { return flow.EndpointOf(netip.AddrPortFrom(ip, 0)).IP }

// run keeps the record and reads those of others until ctx ends.
func (m *members) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		failures := 0
		backoff := platform.Backoff{Base: storeRetryBase, Max: storeRetryMax}
		for ctx.Err() == nil {
			if err := m.round(ctx, failures > 0); err != nil {
				failures++
				if failures == 1 && ctx.Err() == nil {
					m.log.Warn("members not read or written", "error", err.Error())
				}
				_ = backoff.Wait(ctx, failures)
				continue
			}
			if failures > 0 {
				m.log.Info("members read again", "failures", failures)
			}
			failures = 0
			if len(m.heard()) == 0 {
				pause(ctx, listAlone)
			} else {
				pause(ctx, listPause)
			}
		}
	}()
	return done
}

// round lists the records, writes the own one if it is missing, and removes one
// that is out of date. After an outage the list has to be current, since a
// stale one may still show a record that was lost.
func (m *members) round(ctx context.Context, afterOutage bool) error {
	freshness := platform.Stale
	if afterOutage {
		freshness = platform.Current
	}
	l, err := m.store.List(ctx, membersPrefix, freshness)
	if err != nil {
		return fmt.Errorf("listing members: %w", err)
	}
	versions, written := m.take(l.Objects)
	m.found()
	if !written {
		if err := m.write(ctx); err != nil {
			return fmt.Errorf("writing the member record: %w", err)
		}
		recordsWritten.Inc()
	}
	if m.own.Role != roleEntry {
		return nil
	}
	return m.removeGone(ctx, versions)
}

// recordID names a record by what it says of a process.
type recordID struct {
	ip  netip.Addr
	key string
}

// take takes listed records over. It returns their versions and whether the own one is among them.
func (m *members) take(objects []platform.Object) (versions map[recordID]uint64, written bool) {
	recorded := make(map[uint32]string, len(objects))
	versions = make(map[recordID]uint64, len(objects))
	for _, o := range objects {
		var r memberRecord
		if err := json.Unmarshal(o.Value, &r); err != nil || !r.IP.Is4() || r.key() != o.Key {
			m.log.Warn("member record is not readable", "key", o.Key, "revision", o.Version)
			continue
		}
		recorded[addressOf(r.IP)] = r.Role
		versions[recordID{r.IP, o.Key}] = o.Version
		written = written || r == m.own
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recorded = recorded
	return versions, written
}

// removeGone removes a record of a process that no entry can have heard from for long. A
// process that lives after all writes its record again.
func (m *members) removeGone(ctx context.Context, versions map[recordID]uint64) error {
	var recorded, heard []netip.Addr
	for id := range versions {
		if id.ip != m.own.IP {
			recorded = append(recorded, id.ip)
		}
	}
	for _, ip := range m.heard() {
		heard = append(heard, flow.Endpoint{IP: ip}.Addr())
	}
	gone, found := m.silent.Gone(recorded, heard, absence.DefaultGoneAfter, m.now())
	if !found {
		return nil
	}
	for id, version := range versions {
		if id.ip != gone {
			continue
		}
		if err := m.store.Delete(ctx, id.key, version); err != nil && !errors.Is(err, platform.Conflict) {
			return fmt.Errorf("removing the record of a process that is gone: %w", err)
		}
		recordsRemoved.Inc()
		m.log.Info("member record removed", "key", id.key, "revision", version, "silentFor", absence.DefaultGoneAfter.String())
	}
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
