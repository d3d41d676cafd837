package control

import (
	"time"

	"endiveflow.example/endiveflow/member"
)

// deathIndexTTL is how long the index of short digests is used. Deaths tend to come in bursts of a few seconds.
// A member that joined since the index was built is not found; its death is propagated by the comparison of
// digests.
const deathIndexTTL = 10 * time.Second

// deathIndex finds members by the short digests of their ended briefs. It is built when a message with deaths
// arrives, and freed after deathIndexTTL.
type deathIndex struct {
	builtAt time.Time
	ids     map[uint64]member.ID
}

// find returns the ended briefs of the live members that the short digests in deaths identify.
func (x *deathIndex) find(view *member.View, deaths []byte, now time.Time) []member.Brief {
	if len(deaths) == 0 {
		return nil
	}
	if x.ids == nil || now.Sub(x.builtAt) >= deathIndexTTL {
		x.builtAt, x.ids = now, view.ShortDigests()
	}
	var out []member.Brief
	for _, digest := range parseShort(deaths) {
		r, ok := view.Get(x.ids[digest])
		if b := r.Brief().Ended(); ok && r.Alive() && b.ShortDigest() == digest {
			out = append(out, b)
		}
	}
	return out
}

// release frees the index when it has expired.
func (x *deathIndex) release(now time.Time) {
	if x.ids != nil && now.Sub(x.builtAt) >= deathIndexTTL {
		x.ids = nil
	}
}

func appendShort(dst []byte, digest uint64) []byte {
	for i := range member.ShortDigestBytes {
		dst = append(dst, byte(digest>>(8*i)))
	}
	return dst
}

// parseShort returns the short digests in b. An incomplete last one is ignored.
func parseShort(b []byte) []uint64 {
	out := make([]uint64, 0, len(b)/member.ShortDigestBytes)
	for ; len(b) >= member.ShortDigestBytes; b = b[member.ShortDigestBytes:] {
		var digest uint64
		for i := range member.ShortDigestBytes {
			digest |= uint64(b[i]) << (8 * i)
		}
		out = append(out, digest)
	}
	return out
}
