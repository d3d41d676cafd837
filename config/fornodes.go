package config

import "strings"

// maxAddressChanges bounds the audit entries that nodes get with a Service.
const maxAddressChanges = 4

// Lines of audit entries that end the use of an address.
const (
	addressLine = "address: "
	deletedLine = "deleted: false -> true"
)

// ForNodes returns the object as nodes need it. Audit entries stay in the
// store, because control traffic is scarce, but for the times at which a
// Service lost an address: entries that start later still serve the flows there.
func (o Object) ForNodes() Object {
	changes := o.Changes
	o.Changes = nil
	if o.Kind != KindService {
		return o
	}
	for _, c := range changes {
		if lines := addressLines(c.Diff); len(lines) > 0 && c.BaseVersion > 0 {
			o.Changes = append(o.Changes, Change{When: c.When, BaseVersion: c.BaseVersion, Diff: lines})
		}
	}
	o.Changes = o.Changes[max(0, len(o.Changes)-maxAddressChanges):]
	return o
}

func addressLines(diff []string) []string {
	var lines []string
	for _, line := range diff {
		if strings.HasPrefix(line, addressLine) || line == deletedLine {
			lines = append(lines, line)
		}
	}
	return lines
}
