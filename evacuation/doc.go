// Package evacuation holds which availability zones are evacuated: their hosts take no new flows, and open flows stay.
// It does no I/O.
//
// The operator evacuates a zone by an object of the store. The entries that watch the store merge what they read into
// a State, which all processes pass on in their reports, so that a process that starts during an outage of the store
// learns it from any other.
//
//	holder.Merge(evacuation.State{Era: 1, Revision: 530, Zones: []string{"okn-a"}})
//	if holder.Current().Includes(zone) {
//		...
//	}
package evacuation
