package control

import (
	"net/netip"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/member"
)

// Kind is the first byte of a datagram.
type Kind uint8

// Kinds of messages.
const (
	KindBeat Kind = iota + 1
	KindAnswer
	KindRecords
	KindBriefs
	KindWant
	KindGroups
	KindBuckets
	KindProbe
	KindAsk
	KindOpinion
	KindOffer
	KindObjectWant
	KindObjects
	KindConfigBuckets
	KindConfigHashes
	kindEnd
)

// String returns the name of the kind, as the metrics have it.
func (k Kind) String() string {
	names := [...]string{"", "beat", "answer", "records", "briefs", "want", "groups", "buckets", "probe", "ask",
		"opinion", "offer", "objectWant", "objects", "configBuckets", "configHashes"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Beat is a heartbeat. The sender's ID follows from its address.
type Beat struct {
	_ struct{} `cbor:",toarray"`
	// Brief is the digest of the sender's brief. The observer compares it with
	// the digest of the record that it holds.
	Brief uint64
	// Config is the digest of the applied configuration.
	Config uint64
	// View is the lower half of the digest of what an agent holds: the live
	// agents of its service and the entries handed to it. Entries send 0.
	View uint32
}

// Flags of an Answer.
const (
	// flagRecord asks for the sender's record.
	flagRecord uint8 = 1 << iota
	// flagView says that the agent holds other records than the entry would hand out.
	flagView
)

// Answer is the answer to a heartbeat.
type Answer struct {
	_     struct{} `cbor:",toarray"`
	Flags uint8
	// Interval is the time to the next heartbeat in units of 100 ms.
	Interval uint16
}

// Records carries records and the briefs of members that have ended.
type Records struct {
	_       struct{} `cbor:",toarray"`
	Records []wireRecord
	Ended   []wireBrief
	// Deaths names members that died, by the short digests of their ended
	// briefs. It is used when many die at once: a brief takes four times as much.
	Deaths []byte
	// Repair says that the message answers a comparison: others find the same
	// difference by themselves, so the receiver does not pass it on.
	Repair bool
}

// holdings is the scope of the briefs of all that an agent holds.
const holdings = -1

// Briefs lists what the sender holds of a scope. The receiver answers with
// what is newer or missing there, and wants what is newer or missing here.
type Briefs struct {
	_ struct{} `cbor:",toarray"`
	// Scope is a digest bucket, or holdings.
	Scope  int16
	Briefs []wireBrief
}

// Want asks for records.
type Want struct {
	_   struct{} `cbor:",toarray"`
	IDs []member.ID
}

// Groups carries the digests of all groups, four bytes each.
type Groups struct {
	_       struct{} `cbor:",toarray"`
	Digests []byte
}

// Buckets carries the digests of the buckets of one group, four bytes each.
type Buckets struct {
	_       struct{} `cbor:",toarray"`
	Group   uint8
	Digests []byte
}

// Probe asks the receiver for a heartbeat at once.
type Probe struct {
	_ struct{} `cbor:",toarray"`
}

// Ask asks another observer about a member.
type Ask struct {
	_     struct{} `cbor:",toarray"`
	Brief wireBrief
}

// OpinionOf answers Ask.
type OpinionOf struct {
	_       struct{} `cbor:",toarray"`
	Brief   wireBrief
	Opinion member.Opinion
}

// Offer names configuration objects by the hashes of their encoding. Large
// ones do not fit in a datagram and are fetched from the sender's StateHandler.
type Offer struct {
	_      struct{} `cbor:",toarray"`
	Hashes []uint64
	Large  []uint64
}

// ObjectWant asks for objects by their hashes.
type ObjectWant struct {
	_      struct{} `cbor:",toarray"`
	Hashes []uint64
}

// Objects carries encoded configuration objects.
type Objects struct {
	_       struct{} `cbor:",toarray"`
	Objects [][]byte
}

// ConfigBuckets carries the digests of all configuration buckets, four bytes each.
type ConfigBuckets struct {
	_       struct{} `cbor:",toarray"`
	Digests []byte
}

// ConfigHashes lists the hashes of the objects in one configuration bucket.
type ConfigHashes struct {
	_      struct{} `cbor:",toarray"`
	Bucket uint8
	Hashes []uint64
}

// wireRecord is a member.Record without what follows from the rest (the ID) or
// is learned from heartbeats (the configuration digest).
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

// wireBrief is a member.Brief as an array.
type wireBrief struct {
	_           struct{} `cbor:",toarray"`
	ID          member.ID
	Incarnation member.Incarnation
	Version     uint32
	State       member.State
}

// datagram is a received message before its body is decoded.
type datagram struct {
	kind Kind
	from netip.AddrPort
	seq  sequence
	body []byte
}

// sequence orders the datagrams of one process. It is the authenticated nonce
// of the sealed message: a random prefix of the process and a counter.
type sequence struct {
	prefix  uint32
	counter uint64
}
