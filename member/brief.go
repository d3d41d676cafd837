package member

import "encoding/binary"

// Brief holds the fields that decide which of two records of a member wins. The end of a member is
// propagated by its brief alone.
type Brief struct {
	ID          ID
	Incarnation Incarnation
	Version     uint32
	State       State
}

// Brief returns the brief of the record.
func (r Record) Brief() Brief {
	return Brief{ID: r.ID, Incarnation: r.Incarnation, Version: r.Version, State: r.State}
}

// Newer reports whether b replaces old, by the rule of Record.Newer.
func (b Brief) Newer(old Brief) bool {
	return Record{Incarnation: b.Incarnation, Version: b.Version, State: b.State}.
		Newer(Record{Incarnation: old.Incarnation, Version: old.Version, State: old.State})
}

// Alive reports whether the member may still receive packets.
func (b Brief) Alive() bool { return b.State < StateLeft }

// Ended returns the brief with its state set to StateDead, as observers that agree on the death propagate
// it.
func (b Brief) Ended() Brief {
	b.State = StateDead
	return b
}

// Digest returns a hash of the brief. The digest of a set is the XOR of the digests of its members, so
// that it can be updated incrementally.
func (b Brief) Digest() uint64 {
	h := mix(uint64(b.ID))
	h = mix(h ^ uint64(b.Incarnation))
	return mix(h ^ uint64(b.Version)<<8 ^ uint64(b.State))
}

// ShortDigestBytes is the length of a short digest. When 5,000 of 16,400 live members die, the probability
// that a short digest matches a wrong member is 3e-7, and that member refutes its death.
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

// Numbers of digests in a View. A bucket holds about 16 of the 16,400 records of a region at the target
// size, so the briefs of a bucket fit in one datagram.
const (
	DigestGroups    = 32
	DigestBuckets   = 1024
	bucketsPerGroup = DigestBuckets / DigestGroups
	bucketShift     = 64 - 10
)

// BucketOf returns the digest bucket of an ID. Group g consists of the DigestBuckets/DigestGroups buckets
// that start at g*DigestBuckets/DigestGroups.
func BucketOf(id ID) int { return int(uint64(id) >> bucketShift) }

// AppendDigests appends the lower four bytes of each digest, big-endian.
func AppendDigests(dst []byte, digests []uint64) []byte {
	for _, d := range digests {
		dst = binary.BigEndian.AppendUint32(dst, uint32(d))
	}
	return dst
}
