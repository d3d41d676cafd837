// Package entry is the role of the processes behind the fabric. Its forwarder
// passes the packets of callers to agents and the answers back, and holds no
// state of any flow.
//
// # Former addresses
//
// When an operator changes or deletes the address of a service, the forwarder
// keeps the socket for established flows, whose connection IDs name an agent of
// the service. It keeps it for drainFor, and then until no packet has arrived
// for an hour, at most for 12 hours. New flows belong to the service that has
// the address now; without one they are dropped. Answers leave from the address
// that the caller uses, which the tunnel header carries in both directions.
//
// An entry that starts after the change learns the former address from the
// audit entries of the Service object, and, when the service was deleted with its
// Upstreams, the networks of its agents from them. An answer through an entry
// that does not have the address is dropped and counted; the agent takes
// another entry after a second.
//
// Flows on a former address are lost, some or in part, in these cases:
//
//   - The Service object was written 20 times since the change, which drops the
//     audit entry, and an entry starts after that.
//   - The address was removed from the VM of an entry that starts after the
//     change, which then cannot bind it.
//   - The entries give it up at different times, since each sees other packets.
//     The last few flows, with a packet per hour and entry or less, lose the
//     packets that the fabric sends to an entry that gave it up.
//   - A caller has two flows from one port to one agent, on the former and on the
//     present address: the agent answers both from the one last used.
//   - A flow had no answer yet when the address changed.
//   - The Upstreams are deleted well before the service; until then no network
//     may serve it.
//
// While a service is deleted, its drainFor is the one that the Policy function
// returns for an unknown service.
package entry
