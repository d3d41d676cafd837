package mesh

import (
	"crypto/sha256"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// ServiceTag returns the tag of the service with a name. Two names may have the same tag, see ServiceID.
func ServiceTag(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// serviceDigestBytes is the size of a ServiceDigest.
const serviceDigestBytes = 12

// ServiceDigest is the beginning of the SHA-256 digest of a service's name; zero if it isn't known.
type ServiceDigest [serviceDigestBytes]byte

// ServiceID identifies a service in messages, whose size doesn't allow for names. Tags alone are met by two of 9,300 names in 1 of 99
// fleets; tag and digest together have 128 bits, and names with equal digests can't be found by search.
type ServiceID struct {
	Tag uint32
	// Digest is zero in messages of earlier versions, and in those that have no room for it.
	Digest ServiceDigest
}

// IsZero reports whether the service isn't known.
func (id ServiceID) IsZero() bool { return id == ServiceID{} }

// Matches reports whether both may identify the same service. If both have a digest, they do.
func (id ServiceID) Matches(other ServiceID) bool {
	isTagAlone := id.Digest == ServiceDigest{} || other.Digest == ServiceDigest{}
	return id.Tag == other.Tag && (isTagAlone || id.Digest == other.Digest)
}

// maxServiceIDs bounds the number of IDs that are kept.
const maxServiceIDs = 1 << 16

// serviceIDs keeps the IDs of names, as one is needed for each packet.
var serviceIDs = struct {
	sync.RWMutex
	// byName holds the IDs, at most maxServiceIDs.
	byName map[string]ServiceID
}{byName: make(map[string]ServiceID)}

// ServiceIDOf returns the ID of the service with a name.
func ServiceIDOf(name string) ServiceID {
	serviceIDs.RLock()
	id, kept := serviceIDs.byName[name]
	serviceIDs.RUnlock()
	if kept {
		return id
	}
	sum := sha256.Sum256([]byte(name))
	id = ServiceID{Tag: ServiceTag(name), Digest: ServiceDigest(sum[:serviceDigestBytes])}
	serviceIDs.Lock()
	defer serviceIDs.Unlock()
	if len(serviceIDs.byName) < maxServiceIDs {
		serviceIDs.byName[name] = id
	}
	return id
}

// SetService sets the service that the message is for.
func (m *Message) SetService(id ServiceID) { m.Service, m.ServiceDigest = id.Tag, id.Digest }

// ServiceID returns the service that the message is for.
func (m *Message) ServiceID() ServiceID { return ServiceID{m.Service, m.ServiceDigest} }

// carriesDigest reports whether messages of a kind carry ServiceDigest. Their packet or body identifies the flows.
func (k Kind) carriesDigest() bool {
	switch k {
	case KindOffer, KindDeliver, KindSearch, KindAbsenceQuery:
		return true
	}
	return false
}
