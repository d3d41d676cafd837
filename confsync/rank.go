package confsync

import (
	"encoding/binary"
	"iter"

	"github.com/cespare/xxhash/v2"

	"endiveflow.example/endiveflow/member"
)

// zoneRank is the rank of an entry among the live entries of its zone.
type zoneRank struct {
	// higher is the number of live entries that rank higher. The ranking uses rendezvous hashing of the entry
	// and the zone, so entries that join or leave do not change the order of the others.
	higher int
	// others is the number of other live entries.
	others int
}

func zoneRankOf(records []member.Record, zone string, self member.Record) zoneRank {
	var rank zoneRank
	own := score(self.ID, zone)
	for r := range otherEntries(records, zone, self.ID) {
		rank.others++
		if other := score(r.ID, zone); other > own || other == own && r.ID > self.ID {
			rank.higher++
		}
	}
	return rank
}

// otherEntries yields the live entries of a zone except the one with the given ID.
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
