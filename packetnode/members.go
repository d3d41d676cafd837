package packetnode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/absence"
	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/platform"
)

// membersPrefix is the prefix of the keys of member records in the store.
const membersPrefix = "endiveflow-members/"

// Roles of member records.
const (
	roleEntry = "entry"
	roleAgent = "agent"
	// roleUnknownAgent is the role of an agent whose record can't be read: only its key tells that there may be one.
	roleUnknownAgent = "unknown agent"
)

const (
	// listPauseAlone is the pause between lists while the process receives reports from no other
	// process, listPause the shortest pause otherwise.
	listPauseAlone = time.Second
	listPause      = 10 * time.Second
	// listsPerSecond bounds the lists per second of all processes together.
	listsPerSecond = 2
	// restoreSpread is the time over which the processes of a fleet spread the reads and writes that follow a
	// restore of the store. It leaves time to write the own record within two seconds.
	restoreSpread = time.Second
)

var (
	recordsWritten = metrics.NewCounter("endiveflow_packetnode_member_records_written_total")
	recordsRemoved = metrics.NewCounter("endiveflow_packetnode_member_records_removed_total")
)

// memberRecord is the record that a process keeps of itself in the store. It has no fields that change at
// run time, so that an unchanged process causes no writes.
type memberRecord struct {
	Role string     `json:"role"`
	IP   netip.Addr `json:"ip"`
	Zone string     `json:"zone"`
	// Service is the service of an agent's host.
	Service string `json:"service,omitempty"`
}

func (r memberRecord) key() string { return membersPrefix + r.Role + "-" + r.IP.String() }

// parseMemberKey returns the role and the address in the key of a member record, and false if it names no process.
func parseMemberKey(key string) (role string, ip netip.Addr, ok bool) {
	role, address, _ := strings.Cut(strings.TrimPrefix(key, membersPrefix), "-")
	ip, err := netip.ParseAddr(address)
	return role, ip, err == nil && ip.Is4() && (role == roleEntry || role == roleAgent)
}

// memberRegistry maintains the process's own record in the store and the addresses of the processes that are
// listed in the store or configured as seeds.
type memberRegistry struct {
	own   memberRecord
	store *platform.Client
	log   *eventlog.Log
	// known returns the processes that this process receives reports from.
	known func() []uint32
	// listed is called after each list of the records and after each change of the seeds.
	listed func()
	now    func() time.Duration
	// restored is signalled when the store came back from an older copy, in which the own record may be missing.
	restored chan struct{}
	// refresh is signalled when an entry needs records that were read at a later time.
	refresh chan struct{}
	// hasHost reports whether the agent's host has reported; nil means that the process doesn't wait for a host. An agent writes
	// its record then, as a VM whose host never starts may be taken away without notice.
	hasHost func() bool
	// tracker is used only by the goroutine of run.
	tracker absence.Tracker

	mu sync.Mutex
	// The fields below are guarded by mu. recorded is the role of each recorded process by IP, replaced after
	// each list; seeds is replaced after each reload.
	recorded map[uint32]string
	seeds    []uint32
	// joinOrders are the revisions of the agents' records, replaced after each list.
	joinOrders map[uint32]uint64
	// current are the agents of the last read of current records, which began at readAt; 0 if there was none. recorded may be
	// of a later read that was stale. era is its era of the store, and reliableFrom the time from which agents have written again
	// what the store lost.
	current              []uint32
	readAt, reliableFrom time.Duration
	era                  uint64
	// ended is set once the process's own record was removed, so that it isn't written again.
	ended bool
}

// setSeeds replaces the seed entries from the settings.
func (m *memberRegistry) setSeeds(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = nil
	for _, s := range seeds {
		m.seeds = append(m.seeds, flow.EndpointOf(s).IP)
	}
}

// applyReloads applies the seeds of reloaded settings until ctx ends.
func (m *memberRegistry) applyReloads(ctx context.Context, changes <-chan platform.Settings) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-changes:
				m.setSeeds(s.Seeds)
				m.listed()
			}
		}
	}()
	return done
}

// addresses returns the processes that are recorded in the store or configured as seeds; role "" means all
// roles.
func (m *memberRegistry) addresses(role string) []uint32 {
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

// run maintains the process's own record and reads the records of other processes until ctx ends.
func (m *memberRegistry) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		failures, restored := 0, false
		backoff := platform.Backoff{Base: storeRetryBase, Max: storeRetryMax}
		for ctx.Err() == nil {
			if err := m.reconcile(ctx, failures > 0 || restored); err != nil {
				failures++
				if failures == 1 && ctx.Err() == nil {
					m.log.Warn("cannot synchronize member records with the store", "error", err.Error())
				}
				_ = backoff.Wait(ctx, failures)
				continue
			}
			if failures > 0 {
				m.log.Info("member records synchronized again", "failures", failures)
			}
			failures = 0
			restored = m.awaitRestore(ctx, listPauseFor(len(m.known())))
		}
	}()
	return done
}

// joinOrder returns the revisions of the agents' records. An agent's record is written when it joins and not when it restarts.
func (m *memberRegistry) joinOrder() map[uint32]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joinOrders
}

// isPresent reports whether the process is to have a record.
func (m *memberRegistry) isPresent() bool { return m.hasHost == nil || m.hasHost() }

// listPauseFor returns the pause until the next list in a fleet of which the process knows a number of other processes.
func listPauseFor(known int) time.Duration {
	if known == 0 {
		return listPauseAlone
	}
	return max(listPause, time.Duration(known)*time.Second/listsPerSecond)
}

// awaitRestore waits for a pause, or until the store was restored and a random part of restoreSpread has passed, or a
// refresh is requested and due. It reports whether current records must be read.
func (m *memberRegistry) awaitRestore(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-m.restored:
		sleep(ctx, time.Duration(rand.Int64N(int64(restoreSpread))))
		return true
	case <-m.refresh:
		m.awaitRefresh(ctx)
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// reconcile lists the records and writes the process's own one if it is missing. An entry also removes an
// outdated one. If records may have been lost, after an outage or a restore, it reads a current list, because a
// stale one may still contain them.
func (m *memberRegistry) reconcile(ctx context.Context, mayHaveLost bool) error {
	began, freshness := m.now(), platform.Stale
	if mayHaveLost {
		freshness = platform.Current
	}
	l, err := m.store.List(ctx, membersPrefix, freshness)
	if err != nil {
		return fmt.Errorf("listing members: %w", err)
	}
	records, ownWritten := m.updateRecorded(l.Objects)
	if freshness == platform.Current {
		m.noteCurrent(began, l.Era)
	}
	m.listed()
	if !ownWritten && m.isPresent() && !m.hasEnded() {
		if err := m.write(ctx); err != nil {
			return fmt.Errorf("writing the member record: %w", err)
		}
		recordsWritten.Inc()
	}
	if m.own.Role != roleEntry {
		return nil
	}
	return m.removeAbsent(ctx, records)
}

// storedRecord is a record as it was read from the store.
type storedRecord struct {
	ip     netip.Addr
	object platform.Object
}

// updateRecorded replaces the recorded processes by the listed ones. It returns the records and whether the
// process's own one is among them. Of a record that can't be read only the key counts, so that what another writer stored neither
// hides the agent that it may stand for nor the other records.
func (m *memberRegistry) updateRecorded(objects []platform.Object) (records []storedRecord, ownWritten bool) {
	recorded, joinOrders := make(map[uint32]string, len(objects)), make(map[uint32]uint64, len(objects))
	for _, o := range objects {
		role, ip, ok := parseMemberKey(o.Key)
		var r memberRecord
		isReadable := ok && json.Unmarshal(o.Value, &r) == nil && r.key() == o.Key
		if !isReadable {
			m.log.Warn("cannot decode member record", "key", o.Key, "revision", o.Version)
		}
		switch {
		case isReadable:
			recorded[addressOf(ip)] = role
			if role == roleAgent {
				joinOrders[addressOf(ip)] = o.Version
			}
		case ok && role == roleAgent:
			recorded[addressOf(ip)] = roleUnknownAgent
		case !ok:
			continue
		}
		records = append(records, storedRecord{ip, o})
		ownWritten = ownWritten || isReadable && r == m.own
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recorded, m.joinOrders = recorded, joinOrders
	return records, ownWritten
}

// removeAbsent removes the record of a process that no entry can have received reports from for a long time.
// If the process is alive after all, it writes its record again.
func (m *memberRegistry) removeAbsent(ctx context.Context, records []storedRecord) error {
	var recorded, known []netip.Addr
	for _, r := range records {
		if r.ip != m.own.IP {
			recorded = append(recorded, r.ip)
		}
	}
	for _, ip := range m.known() {
		known = append(known, flow.Endpoint{IP: ip}.Addr())
	}
	absent, found := m.tracker.LongestAbsent(recorded, known, absence.DefaultMinAbsence, m.now())
	if !found {
		return nil
	}
	for _, r := range records {
		if r.ip != absent {
			continue
		}
		err := m.store.Delete(ctx, r.object)
		if errors.Is(err, platform.Conflict) || errors.Is(err, platform.Restored) {
			continue
		}
		if err != nil {
			return fmt.Errorf("removing the record of a dead process: %w", err)
		}
		recordsRemoved.Inc()
		m.log.Info("member record removed", "key", r.object.Key, "revision", r.object.Version, "era", r.object.Era, "silentFor", absence.DefaultMinAbsence.String())
	}
	return nil
}

// write creates or replaces the process's own record.
func (m *memberRegistry) write(ctx context.Context) error {
	encoded, err := json.Marshal(m.own)
	if err != nil {
		return fmt.Errorf("encoding the member record: %w", err)
	}
	_, err = m.store.Put(ctx, m.own.key(), encoded, 0)
	if err == nil || !errors.Is(err, platform.Conflict) {
		return err
	}
	// An earlier process at this address left its record behind.
	o, err := m.store.Get(ctx, m.own.key())
	if err != nil || sameJSON(o.Value, encoded) {
		return err
	}
	_, err = m.store.Put(ctx, m.own.key(), encoded, o.Version)
	return err
}

func sameJSON(a, b []byte) bool {
	var x, y memberRecord
	return bytes.Equal(a, b) || json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && x == y
}
