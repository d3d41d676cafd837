package config

import "strings"

// maxAddressChanges is the largest number of audit entries that nodes receive with a Service.
const maxAddressChanges = 4

// Lines in audit entries which record that a Service no longer uses an address.
const (
	addressPrefix = "address: "
	deletedLine   = "deleted: false -> true"
)

// ForNodes returns the object without the parts that nodes do not need. Audit entries stay in the store, because
// control traffic is scarce. Only the times at which a Service lost an address are kept: entries that start
// later must still serve the flows at that address.
func (o Object) ForNodes() Object {
	changes := o.Changes
	o.Changes = nil
	if o.Kind != KindService {
		return o
	}
	for _, c := range changes {
		if lines := addressDiffLines(c.Diff); len(lines) > 0 && c.BaseVersion > 0 {
			o.Changes = append(o.Changes, Change{When: c.When, BaseVersion: c.BaseVersion, Diff: lines})
		}
	}
	o.Changes = o.Changes[max(0, len(o.Changes)-maxAddressChanges):]
	return o
}

func addressDiffLines(diff []string) []string {
	var lines []string
	for _, line := range diff {
		if strings.HasPrefix(line, addressPrefix) || line == deletedLine {
			lines = append(lines, line)
		}
	}
	return lines
}
