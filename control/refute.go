package control

import (
	"fmt"
	"slices"

	"endiveflow.example/endiveflow/member"
)

// newerSelf finds the newest brief of the own ID that others hold and that is
// newer than the own one.
func newerSelf(self member.Brief, records []member.Record, ended []member.Brief) (newest member.Brief, found bool) {
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
	return fmt.Sprintf("others hold version %d of incarnation %x as %s", b.Version, uint64(b.Incarnation), b.State)
}

// withoutSelf drops what concerns the own ID: its owner alone puts the own record into the view.
func withoutSelf(self member.ID, records []member.Record, ended []member.Brief) ([]member.Record, []member.Brief) {
	records = slices.DeleteFunc(records, func(r member.Record) bool { return r.ID == self })
	ended = slices.DeleteFunc(ended, func(b member.Brief) bool { return b.ID == self })
	return records, ended
}
