package member

import "encoding/binary"

// Brief is what decides which of two records of a member wins. An ended
// member is announced by its brief alone.
type Brief struct {
	ID          ID
	Incarnation Incarnation
	Version     uint32
	State       State
}

// Brief returns the deciding part of a record.
func (r Record) Brief() Brief {
	return Brief{ID: r.ID, Incarnation: r.Incarnation, Version: r.Version, State: r.State}
}

// Newer says whether b replaces old, by the rule of Record.Newer.
func (b Brief) Newer(old Brief) bool {
	return Record{Incarnation: b.Incarnation, Version: b.Version, State: b.State}.
		Newer(Record{Incarnation: old.Incarnation, Version: old.Version, State: old.State})
}

// Alive says whether the member may still receive packets.
func (b Brief) Alive() bool { return b.State < StateLeft }

// Ended returns the brief of the same version after the observers agreed that the member is dead.
func (b Brief) Ended() Brief {
	b.State = StateDead
	return b
}

// Digest returns a hash of the brief. Digests of sets are the XOR of their
// members' digests, so that they are kept up to date on each change.
func (b Brief) Digest() uint64 {
	h := mix(uint64(b.ID))
	h = mix(h ^ uint64(b.Incarnation))
	return mix(h ^ uint64(b.Version)<<8 ^ uint64(b.State))
}

// ShortDigestBytes is the length of a short digest. Among 16,400 live records
// a death of 5,000 members names a wrong one with a probability of 3e-7, and
// that one refutes it.
const ShortDigestBytes = 6

// ShortDigest returns the lower ShortDigestBytes bytes of the digest.
func (b Brief) ShortDigest() uint64 { return b.Digest() & (1<<(8*ShortDigestBytes) - 1) }

// mix is the finalizer of splitmix64: each input bit changes about half of the output bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// DigestOf returns the digest of the live records among records.
func DigestOf(records []Record) uint64 {
	var d uint64
	for i := range records {
		if records[i].Alive() {
			d ^= records[i].Brief().Digest()
		}
	}
	return d
}

// Numbers of digests in a View. A bucket holds about 16 of the 16,400 records
// of a region at the target size, so its briefs fit in one datagram.
const (
	DigestGroups    = 32
	DigestBuckets   = 1024
	bucketsPerGroup = DigestBuckets / DigestGroups
	bucketShift     = 64 - 10
)

// BucketOf returns the digest bucket of an ID. Group g holds the buckets from
// g*DigestBuckets/DigestGroups on.
func BucketOf(id ID) int { return int(uint64(id) >> bucketShift) }

// AppendDigests appends the lower four bytes of each digest, big-endian.
func AppendDigests(dst []byte, digests []uint64) []byte {
	for _, d := range digests {
		dst = binary.BigEndian.AppendUint32(dst, uint32(d))
	}
	return dst
}
