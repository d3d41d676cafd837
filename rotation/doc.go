// Package rotation decides whether an entry stays in the rotation of the routers, so that a few entries of low capacity
// don't determine what the entries of an availability zone can carry. It does no I/O.
//
// Routers give each entry in rotation the same share of the flows. A zone with the k entries of highest capacity in
// rotation therefore sustains k times the capacity of the k-th. Each entry reports its capacity, its load and its state to
// the others and decides for itself alone; entries with the same reports come to compatible decisions.
//
//	var decider rotation.Decider
//	d := decider.Decide(self, zone, now)
//	if !d.InRotation {
//		// Fails the routers' readiness probe, and goes on forwarding what arrives.
//	}
//
// Nearly all flows move to other entries when the number of entries in rotation changes, so that entries leave slowly and
// seldom. They return at once.
package rotation
