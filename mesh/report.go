package mesh

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"endiveflow.example/endiveflow/evacuation"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/rotation"
)

// AgentReport is the report of an agent. Every report is complete, so that a process that has just started needs
// only one.
type AgentReport struct {
	// IP is the address of the agent's VM.
	IP uint32 `cbor:"1,keyasint"`
	// Incarnation is the start time of the agent process in Unix milliseconds by the clock of its VM. Two processes at an address
	// may have started with different clocks, see package incarnation.
	Incarnation int64 `cbor:"2,keyasint"`
	// Version orders the reports of an incarnation.
	Version uint64 `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
	Zone    string `cbor:"5,keyasint"`
	// Leaving reports whether the agent is stopping: it keeps its flows and takes no new ones.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// HostState is the state of the host.
	HostState host.State `cbor:"7,keyasint"`
	// HostID and HostStartedAt identify the incarnation of the host.
	HostID        string `cbor:"8,keyasint,omitempty"`
	HostStartedAt int64  `cbor:"9,keyasint,omitempty"`
	// HostWarm reports whether the host's warm-up is over.
	HostWarm bool `cbor:"10,keyasint,omitempty"`
	// IntervalMs is the time until the next regular report, in milliseconds.
	IntervalMs uint32 `cbor:"11,keyasint,omitempty"`
	// Evacuations are the evacuated zones, as far as the agent knows.
	Evacuations evacuation.State `cbor:"12,keyasint,omitempty"`
	// RelativeCostPermille is the time that the host works on its requests, in thousandths of the fleet's typical time for
	// the same requests; 0 if unknown. It is above 1000 for a slow host.
	RelativeCostPermille uint32 `cbor:"13,keyasint,omitempty"`
	// HostDown reports whether nothing listens at the host's address, since its last heartbeat if it sent one.
	HostDown bool `cbor:"14,keyasint,omitempty"`
}

// EntryReport is the report of an entry on itself and other processes.
type EntryReport struct {
	IP          uint32 `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Zone is the availability zone.
	Zone string `cbor:"3,keyasint"`
	// Entries and Agents are the addresses of some other processes from which the entry received a message
	// recently.
	Entries []uint32 `cbor:"4,keyasint,omitempty"`
	Agents  []uint32 `cbor:"5,keyasint,omitempty"`
	// IntervalMs is the time until the next regular report to the same entry, AgentIntervalMs until the next one to
	// the same agent, both in milliseconds.
	IntervalMs      uint32 `cbor:"6,keyasint,omitempty"`
	AgentIntervalMs uint32 `cbor:"8,keyasint,omitempty"`
	// AgentCount is the number of agents that the entry has reports of.
	AgentCount uint32 `cbor:"9,keyasint,omitempty"`
	// Store is what the entry knows of the store.
	Store StoreStatus `cbor:"7,keyasint"`
	// Evacuations are the evacuated zones, as far as the entry knows.
	Evacuations evacuation.State `cbor:"10,keyasint,omitempty"`
	// LinkBytesPerSecond is the capacity of the VM's link, CPUMilli its share of a core in thousandths; 0 if unknown.
	LinkBytesPerSecond uint64 `cbor:"11,keyasint,omitempty"`
	CPUMilli           uint32 `cbor:"12,keyasint,omitempty"`
	// LoadBytesPerSecond is what the entry carries: the larger of what it receives and sends.
	LoadBytesPerSecond uint64 `cbor:"13,keyasint,omitempty"`
	// Rotation is the entry's part in the rotation of the routers.
	Rotation RotationStatus `cbor:"14,keyasint,omitempty"`
	// Moved are some of the changes of routes that flows may have opened before.
	Moved []MovedRoute `cbor:"15,keyasint,omitempty"`
	// MovedServices are the names of the services of Moved, in the same order. Entries of earlier versions report tags only.
	MovedServices []string `cbor:"16,keyasint,omitempty"`
	// RecordedVersion is the newest version of the configuration whose routes the store's route record covers, as far as the entry
	// knows; 0 if it knows of none. It holds for the era in Store.
	RecordedVersion uint64 `cbor:"17,keyasint,omitempty"`
}

// MovedRoute is a service that the route of an address and port no longer leads to.
type MovedRoute struct {
	_    struct{} `cbor:",toarray"`
	IP   uint32
	Port uint16
	// Service is the tag of the service.
	Service uint32
	// AgeMs is the time since the change in milliseconds.
	AgeMs uint32
}

// RotationStatus is an entry's part in the rotation.
type RotationStatus struct {
	// State is the entry's state; 0 from entries that don't report it, which count as in rotation.
	State rotation.State `cbor:"1,keyasint,omitempty"`
	// Version orders the reports of an incarnation; 0 from entries that don't report it.
	Version uint64 `cbor:"2,keyasint,omitempty"`
}

// StoreStatus is what an entry knows of the store.
type StoreStatus struct {
	// Era is the newest known era of the store, 0 if none.
	Era uint64 `cbor:"1,keyasint,omitempty"`
	// AgeMs is the time since the last known answer of the store to any entry, in milliseconds plus 1; 0 means that
	// none is known.
	AgeMs uint32 `cbor:"2,keyasint,omitempty"`
}

// NewStoreStatus returns the status for an era and the age of the last known answer.
func NewStoreStatus(era uint64, age func() (time.Duration, bool)) StoreStatus {
	s := StoreStatus{Era: era}
	if d, known := age(); known {
		s.AgeMs = uint32(min(max(d.Milliseconds(), 0), maxAgeMs)) + 1
	}
	return s
}

// maxAgeMs bounds the age in a StoreStatus, in milliseconds.
const maxAgeMs = 1 << 31

// Age returns the time since the last known answer, and false if none is known.
func (s StoreStatus) Age() (time.Duration, bool) {
	return time.Duration(s.AgeMs-min(s.AgeMs, 1)) * time.Millisecond, s.AgeMs > 0
}

// SilenceTimeout returns the time without a message after which a process with a report interval is considered
// down. Intervals below 1 s count as 1 s.
func SilenceTimeout(intervalMs uint32) time.Duration {
	interval := max(time.Duration(intervalMs)*time.Millisecond, time.Second)
	return interval * missedHalfIntervals / 2
}

// missedHalfIntervals is the number of half report intervals without a message after which a process is
// considered down.
const missedHalfIntervals = 7

// EncodeReport returns the encoded report, the body of a message.
func EncodeReport[T AgentReport | EntryReport](r T) ([]byte, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encoding a report: %w", err)
	}
	return b, nil
}

// DecodeReport decodes the body of a message that carries a report.
func DecodeReport[T AgentReport | EntryReport](b []byte) (T, error) {
	var r T
	if err := cbor.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("decoding a report: %w", err)
	}
	return r, nil
}
