package control

import (
	"time"

	"endiveflow.example/endiveflow/member"
)

// deathIndexTTL is how long the index of short digests is used. Deaths tend to come in bursts of a few seconds.
// A member that joined since the index was built is not found; its death is propagated by the comparison of
// digests.
const deathIndexTTL = 10 * time.Second

// deathIndex finds members by the short digests of their ended summaries. It is built when a message with deaths
// arrives, and freed after deathIndexTTL.
type deathIndex struct {
	builtAt time.Time
	ids     map[uint64]member.ID
}

// find returns the ended summaries of the live members that the short digests in deaths identify.
func (x *deathIndex) find(view *member.View, deaths []byte, now time.Time) []member.Summary {
	if len(deaths) == 0 {
		return nil
	}
	if x.ids == nil || now.Sub(x.builtAt) >= deathIndexTTL {
		x.builtAt, x.ids = now, view.ShortDigests()
	}
	var out []member.Summary
	for _, digest := range parseShort(deaths) {
		r, ok := view.Get(x.ids[digest])
		if s := r.Summary().Ended(); ok && r.Alive() && s.ShortDigest() == digest {
			out = append(out, s)
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
