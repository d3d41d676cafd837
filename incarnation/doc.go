// Package incarnation determines which incarnation of a process at an address is the current one, from the messages that the
// incarnations sent.
//
// The start times in the messages are those of the sender's clock, which may have been set between two starts. They decide as
// long as nothing contradicts them; an incarnation that keeps sending while the current one is silent replaces it whatever its
// start time is:
//
//	s := incarnation.NewSuccession(incarnation.Config{Silence: 2 * time.Second, Span: time.Second})
//	s.Observe(incarnation.Identity{ID: "a", StartedAt: 200}, 1, 0)             // Replaced
//	s.Observe(incarnation.Identity{ID: "b", StartedAt: 100}, 1, time.Second)   // Outdated
//	s.Observe(incarnation.Identity{ID: "b", StartedAt: 100}, 2, 2*time.Second) // Replaced
package incarnation
