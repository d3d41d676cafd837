package control

import (
	"fmt"
	"slices"

	"endiveflow.example/endiveflow/member"
)

// newerOwnBrief returns the newest of the received briefs of this member, if it is newer than the member's own.
func newerOwnBrief(self member.Brief, records []member.Record, ended []member.Brief) (newest member.Brief, found bool) {
	newest = self
	consider := func(b member.Brief) {
		if b.ID == self.ID && b.Newer(newest) {
			newest, found = b, true
		}
	}
	for i := range records {
		consider(records[i].Brief())
	}
	for _, b := range ended {
		consider(b)
	}
	return newest, found
}

func refuteReason(b member.Brief) string {
	return fmt.Sprintf("other members hold version %d of incarnation %x in state %s", b.Version, uint64(b.Incarnation), b.State)
}

// withoutSelf removes the records and briefs of this member: only its owner puts its record into the view.
func withoutSelf(self member.ID, records []member.Record, ended []member.Brief) ([]member.Record, []member.Brief) {
	records = slices.DeleteFunc(records, func(r member.Record) bool { return r.ID == self })
	ended = slices.DeleteFunc(ended, func(b member.Brief) bool { return b.ID == self })
	return records, ended
}
