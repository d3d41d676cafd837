package member

import "encoding/binary"

// Summary is the part of a record that decides which of two records of a member is newer: the member's ID, the
// incarnation, the version and the state. Views are compared by summaries, and the end of a member is propagated
// by its summary alone.
type Summary struct {
	ID          ID
	Incarnation Incarnation
	Version     uint32
	State       State
}

// Summary returns the summary of the record.
func (r Record) Summary() Summary {
	return Summary{ID: r.ID, Incarnation: r.Incarnation, Version: r.Version, State: r.State}
}

// Newer reports whether s replaces old, by the rule of Record.Newer.
func (s Summary) Newer(old Summary) bool {
	return Record{Incarnation: s.Incarnation, Version: s.Version, State: s.State}.
		Newer(Record{Incarnation: old.Incarnation, Version: old.Version, State: old.State})
}

// Alive reports whether the member may still receive packets.
func (s Summary) Alive() bool { return s.State < StateLeft }

// Ended returns the summary with its state set to StateDead. It is propagated when observers agree that the
// member is dead.
func (s Summary) Ended() Summary {
	s.State = StateDead
	return s
}

// Digest returns a hash of the summary. The digest of a set is the XOR of the digests of its members, so
// that it can be updated incrementally.
func (s Summary) Digest() uint64 {
	h := mix(uint64(s.ID))
	h = mix(h ^ uint64(s.Incarnation))
	return mix(h ^ uint64(s.Version)<<8 ^ uint64(s.State))
}

// ShortDigestBytes is the length of a short digest. When 5,000 of 16,400 live members die, the probability
// that a short digest matches a wrong member is 3e-7, and that member refutes its death.
const ShortDigestBytes = 6

// ShortDigest returns the lower ShortDigestBytes bytes of the digest.
func (s Summary) ShortDigest() uint64 { return s.Digest() & (1<<(8*ShortDigestBytes) - 1) }

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
			d ^= records[i].Summary().Digest()
		}
	}
	return d
}

// Numbers of digests in a View. A bucket holds about 16 of the 16,400 records of a region at the target
// size, so the summaries of a bucket fit in one datagram.
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
