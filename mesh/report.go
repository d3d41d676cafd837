package mesh

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"endiveflow.example/endiveflow/host"
)

// Agent is what an agent says of itself. The whole record travels each time,
// so that a process that starts knows the agent at the first one.
type Agent struct {
	// IP is the address of the agent's VM.
	IP uint32 `cbor:"1,keyasint"`
	// Incarnation orders the runs of the agent at the address; it is the
	// start in Unix milliseconds.
	Incarnation int64 `cbor:"2,keyasint"`
	// Version orders the reports of an incarnation.
	Version uint64 `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
	Zone    string `cbor:"5,keyasint"`
	// Leaving says that the agent ends: it keeps its flows and takes no new ones.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Host is the state of the host.
	Host host.State `cbor:"7,keyasint"`
	// HostID and Born name the incarnation of the host.
	HostID string `cbor:"8,keyasint,omitempty"`
	Born   int64  `cbor:"9,keyasint,omitempty"`
	// Warm says that the host is past its warm-up.
	Warm bool `cbor:"10,keyasint,omitempty"`
	// IntervalMs is the time until the next regular report.
	IntervalMs uint32 `cbor:"11,keyasint,omitempty"`
}

// Entry is what an entry says of itself and of those it knows.
type Entry struct {
	IP          uint32 `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Zone is the availability zone.
	Zone string `cbor:"3,keyasint"`
	// Entries and Agents are addresses of some others that the entry heard from lately.
	Entries []uint32 `cbor:"4,keyasint,omitempty"`
	Agents  []uint32 `cbor:"5,keyasint,omitempty"`
	// IntervalMs is the time until the next regular report.
	IntervalMs uint32 `cbor:"6,keyasint,omitempty"`
}

// Silence is how long a process that reports at an interval may be silent
// before it is taken for away.
func Silence(intervalMs uint32) time.Duration {
	interval := max(time.Duration(intervalMs)*time.Millisecond, time.Second)
	return interval * missedReports / 2
}

// missedReports is the number of half intervals without a report after which a process is away.
const missedReports = 7

// EncodeReport returns the body of a report, an Agent or an Entry.
func EncodeReport[T Agent | Entry](r T) ([]byte, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encoding a report: %w", err)
	}
	return b, nil
}

// DecodeReport reads the body of a report.
func DecodeReport[T Agent | Entry](b []byte) (T, error) {
	var r T
	if err := cbor.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("decoding a report: %w", err)
	}
	return r, nil
}
