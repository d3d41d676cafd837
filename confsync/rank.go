package confsync

import (
	"encoding/binary"
	"iter"

	"github.com/cespare/xxhash/v2"

	"endiveflow.example/endiveflow/member"
)

// standing is the place of an entry among the live entries of its zone.
type standing struct {
	// rank is the number of live entries ranked higher. The ranking is rendezvous
	// hashing of the entry on the zone: entries that come or go leave the order
	// of the others unchanged.
	rank int
	// others is the number of other live entries.
	others int
}

func standingOf(records []member.Record, zone string, self member.Record) standing {
	var s standing
	own := score(self.ID, zone)
	for r := range otherEntries(records, zone, self.ID) {
		s.others++
		if other := score(r.ID, zone); other > own || other == own && r.ID > self.ID {
			s.rank++
		}
	}
	return s
}

// otherEntries yields the live entries of a zone but one.
func otherEntries(records []member.Record, zone string, id member.ID) iter.Seq[*member.Record] {
	return func(yield func(*member.Record) bool) {
		for i := range records {
			r := &records[i]
			if r.Role == member.RoleEntry && r.Zone == zone && r.Alive() && r.ID != id && !yield(r) {
				return
			}
		}
	}
}

func score(id member.ID, zone string) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(zone), uint64(id)))
}
