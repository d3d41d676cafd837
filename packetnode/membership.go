package packetnode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/packetentry"
	"endiveflow.example/endiveflow/platform"
)

const (
	// minRefreshPause is the minimum time between two reads of the member records that flows without a host need. It grows by
	// refreshPausePerProcess with each known process, which keeps the records read per second constant.
	minRefreshPause        = 300 * time.Millisecond
	refreshPausePerProcess = 3 * time.Millisecond
	// restoreGrace is the time after a change of the store's era, or after the start if there was a restore before, in which the
	// records may lack processes. Processes write their records again within two seconds of an outage.
	restoreGrace = 5 * time.Second
	// firstEra is the era of a store that was never restored.
	firstEra = 1
)

// membership returns the recorded agents. If they were read before since, it requests another read.
func (m *memberRegistry) membership(since time.Duration) packetentry.Membership {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readAt < since {
		signal(m.refresh)
	}
	return packetentry.Membership{
		Agents: union(m.current, m.recordedAgents()), ReadAt: m.readAt, Known: m.readAt > 0 && m.now() >= m.reliableFrom,
	}
}

// recordedAgents returns the agents in recorded; m.mu must be held.
func (m *memberRegistry) recordedAgents() []uint32 {
	var agents []uint32
	for ip, role := range m.recorded {
		if role == roleAgent || role == roleUnknownAgent {
			agents = append(agents, ip)
		}
	}
	return agents
}

// noteCurrent records that current records of an era of the store were read, which recorded holds.
func (m *memberRegistry) noteCurrent(began time.Duration, era uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readAt == 0 && era > firstEra || m.readAt > 0 && era != m.era {
		m.reliableFrom = began + restoreGrace
	}
	m.current, m.readAt, m.era = m.recordedAgents(), max(began, 1), era
}

// refreshPause returns the time until current records may be read again.
func (m *memberRegistry) refreshPause() time.Duration {
	pause := max(minRefreshPause, time.Duration(len(m.known()))*refreshPausePerProcess)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readAt == 0 {
		return 0
	}
	return max(m.readAt+pause-m.now(), 0)
}

// awaitRefresh waits until current records may be read again, or until the store was restored.
func (m *memberRegistry) awaitRefresh(ctx context.Context) {
	timer := time.NewTimer(m.refreshPause())
	defer timer.Stop()
	select {
	case <-m.restored:
		sleep(ctx, time.Duration(rand.Int64N(int64(restoreSpread))))
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (m *memberRegistry) hasEnded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// removeOwn removes the process's own record, for an agent whose host has left. If it fails, the record stays until an entry
// removes it.
func (m *memberRegistry) removeOwn(ctx context.Context) error {
	m.mu.Lock()
	m.ended = true
	m.mu.Unlock()
	o, err := m.store.Get(ctx, m.own.key())
	if errors.Is(err, errors.NotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("reading the own member record: %w", err)
	}
	if err := m.store.Delete(ctx, o); err != nil && !errors.Is(err, platform.Restored) {
		return fmt.Errorf("removing the own member record: %w", err)
	}
	recordsRemoved.Inc()
	m.log.Info("member record removed", "key", o.Key, "revision", o.Version, "why", "the host has left")
	return nil
}
