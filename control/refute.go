package control

import (
	"fmt"
	"slices"

	"endiveflow.example/endiveflow/member"
)

// newerOwnSummary returns the newest of the received summaries of this member, if it is newer than the member's
// own.
func newerOwnSummary(self member.Summary, records []member.Record, ended []member.Summary) (newest member.Summary, found bool) {
	newest = self
	consider := func(s member.Summary) {
		if s.ID == self.ID && s.Newer(newest) {
			newest, found = s, true
		}
	}
	for i := range records {
		consider(records[i].Summary())
	}
	for _, s := range ended {
		consider(s)
	}
	return newest, found
}

func refuteReason(s member.Summary) string {
	return fmt.Sprintf("other members hold version %d of incarnation %x in state %s", s.Version, uint64(s.Incarnation), s.State)
}

// withoutSelf removes the records and summaries of this member: only its owner puts its record into the view.
func withoutSelf(self member.ID, records []member.Record, ended []member.Summary) ([]member.Record, []member.Summary) {
	records = slices.DeleteFunc(records, func(r member.Record) bool { return r.ID == self })
	ended = slices.DeleteFunc(ended, func(s member.Summary) bool { return s.ID == self })
	return records, ended
}
