package control

import (
	"time"

	"endiveflow.example/endiveflow/member"
)

// deathsFor is how long the index of short digests is used. Many deaths come
// within seconds of each other; a member that joined meanwhile is not found
// and left to the comparison of digests.
const deathsFor = 10 * time.Second

// deathIndex finds members by the short digests of their ended briefs. It
// exists only while messages with deaths arrive.
type deathIndex struct {
	built time.Time
	ids   map[uint64]member.ID
}

// find returns the ended briefs of the live members that deaths name.
func (x *deathIndex) find(view *member.View, deaths []byte, now time.Time) []member.Brief {
	if len(deaths) == 0 {
		return nil
	}
	if x.ids == nil || now.Sub(x.built) >= deathsFor {
		x.built, x.ids = now, view.ShortDigests()
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

// release drops an index that is no longer used.
func (x *deathIndex) release(now time.Time) {
	if x.ids != nil && now.Sub(x.built) >= deathsFor {
		x.ids = nil
	}
}

func appendShort(dst []byte, digest uint64) []byte {
	for i := range member.ShortDigestBytes {
		dst = append(dst, byte(digest>>(8*i)))
	}
	return dst
}

// parseShort returns the short digests in b; an incomplete last one is ignored.
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
