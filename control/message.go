package control

import (
	"net/netip"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/member"
)

// Kind is the kind of a message, the first byte of a datagram.
type Kind uint8

// Kinds of messages.
const (
	KindHeartbeat Kind = iota + 1
	KindHeartbeatAnswer
	KindRecords
	KindSummaries
	KindRecordRequest
	KindGroupDigests
	KindBucketDigests
	KindProbe
	KindOpinionRequest
	KindOpinionAnswer
	KindObjectOffer
	KindObjectRequest
	KindObjects
	KindConfigBucketDigests
	KindConfigHashes
	kindEnd
)

// String returns the name of the kind used in metrics.
func (k Kind) String() string {
	names := [...]string{"", "beat", "answer", "records", "briefs", "want", "groups", "buckets", "probe", "ask",
		"opinion", "offer", "objectWant", "objects", "configBuckets", "configHashes"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Heartbeat is a heartbeat. The sender's ID is derived from its address.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// SummaryDigest is the digest of the sender's summary. The observer compares it with the digest of the summary
	// that it has of the sender.
	SummaryDigest uint64
	// ConfigDigest is the digest of the applied configuration.
	ConfigDigest uint64
	// ViewDigest is the lower half of the digest of the records that an agent holds: the live agents of its service
	// and the entries assigned to it. Entries send 0.
	ViewDigest uint32
}

// Flags of a HeartbeatAnswer.
const (
	// flagRecord requests the sender's record.
	flagRecord uint8 = 1 << iota
	// flagView reports that the view of the agent differs from what the entry expects, see agentViewDigest.
	flagView
)

// HeartbeatAnswer is the answer to a heartbeat.
type HeartbeatAnswer struct {
	_     struct{} `cbor:",toarray"`
	Flags uint8
	// Interval is the time to the next heartbeat in units of 100 ms.
	Interval uint16
}

// Records carries records, and the summaries of members that have ended.
type Records struct {
	_       struct{} `cbor:",toarray"`
	Records []wireRecord
	Ended   []wireSummary
	// Deaths identifies dead members by the short digests of their ended summaries. It is used when many members
	// die at once: a summary takes four times as many bytes.
	Deaths []byte
	// Repair marks the answer to a comparison. The receiver does not propagate it, as other entries find the
	// same difference by their own comparisons.
	Repair bool
}

// agentScope is the scope of all records that an agent holds.
const agentScope = -1

// Summaries lists the summaries of the sender's records in a scope. The receiver answers with the records that
// are newer in its own view or missing on the sender's side, and requests those that are newer on the sender's
// side or missing in its own view.
type Summaries struct {
	_ struct{} `cbor:",toarray"`
	// Scope is a digest bucket or agentScope.
	Scope     int16
	Summaries []wireSummary
}

// RecordRequest requests records.
type RecordRequest struct {
	_   struct{} `cbor:",toarray"`
	IDs []member.ID
}

// GroupDigests carries the digests of all groups, four bytes each.
type GroupDigests struct {
	_       struct{} `cbor:",toarray"`
	Digests []byte
}

// BucketDigests carries the digests of the buckets of one group, four bytes each.
type BucketDigests struct {
	_       struct{} `cbor:",toarray"`
	Group   uint8
	Digests []byte
}

// Probe requests an immediate heartbeat from the receiver.
type Probe struct {
	_ struct{} `cbor:",toarray"`
}

// OpinionRequest asks another observer for its opinion about a member.
type OpinionRequest struct {
	_       struct{} `cbor:",toarray"`
	Summary wireSummary
}

// OpinionAnswer answers an OpinionRequest.
type OpinionAnswer struct {
	_       struct{} `cbor:",toarray"`
	Summary wireSummary
	Opinion member.Opinion
}

// ObjectOffer announces configuration objects by the hashes of their encoding. Objects in Large do not fit in a
// datagram and are fetched from the sender's StateHandler.
type ObjectOffer struct {
	_           struct{} `cbor:",toarray"`
	Hashes      []uint64
	LargeHashes []uint64
}

// ObjectRequest requests objects by their hashes.
type ObjectRequest struct {
	_      struct{} `cbor:",toarray"`
	Hashes []uint64
}

// Objects carries encoded configuration objects.
type Objects struct {
	_       struct{} `cbor:",toarray"`
	Objects [][]byte
}

// ConfigBucketDigests carries the digests of all configuration buckets, four bytes each.
type ConfigBucketDigests struct {
	_       struct{} `cbor:",toarray"`
	Digests []byte
}

// ConfigHashes lists the hashes of the objects in one configuration bucket.
type ConfigHashes struct {
	_      struct{} `cbor:",toarray"`
	Bucket uint8
	Hashes []uint64
}

// wireRecord is the wire form of a member.Record. It omits the ID, which is derived from the other fields, and
// the configuration digest, which heartbeats carry.
type wireRecord struct {
	_           struct{} `cbor:",toarray"`
	Role        member.Role
	Zone        string
	Service     config.ServiceTag
	Addresses   []byte
	Incarnation member.Incarnation
	Version     uint32
	State       member.State
	Slots       uint16
	Weight      uint8
}

// wireSummary is the wire form of a member.Summary.
type wireSummary struct {
	_           struct{} `cbor:",toarray"`
	ID          member.ID
	Incarnation member.Incarnation
	Version     uint32
	State       member.State
}

// datagram is an authenticated message whose body is not decoded yet.
type datagram struct {
	kind Kind
	from netip.AddrPort
	seq  sequence
	body []byte
}

// sequence orders the datagrams of one run of a process. It is the authenticated nonce of the sealed message,
// which consists of a random prefix per run and a counter.
type sequence struct {
	prefix  uint32
	counter uint64
}
