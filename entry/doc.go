// Package entry implements the entry, the process behind the fabric. Its forwarder passes the packets of
// callers to agents and the answers back, and keeps no per-flow state.
//
// # Former addresses
//
// When an operator changes or deletes the address of a service, the forwarder keeps the socket for
// established flows, whose connection IDs name an agent of the service. The socket stays open for drainFor,
// and then until no packet has arrived for an hour, but at most for 12 hours. New flows go to the service
// that has the address now; without one they are dropped. Answers are sent from the address that the caller
// uses, which the tunnel header carries in both directions.
//
// An entry that starts after the change reads the former address from the audit entries of the Service
// object. When the service was deleted together with its Upstreams, it reads the networks of the agents
// from the deleted Upstreams. An entry that does not have the address drops and counts the answer; the
// agent switches to another entry after a second.
//
// Flows on a former address lose packets or break in these cases:
//
//   - The Service object was written 20 times since the change, which drops the
//     audit entry, and an entry starts after that.
//   - The address was removed from the VM of an entry that starts after the
//     change, which then cannot bind it.
//   - The entries close the address at different times, since each sees different packets. The last few
//     flows, with one packet per hour and entry or less, lose the packets that the fabric sends to an entry
//     that has closed the address.
//   - A caller has two flows from one port to one agent, one on the former and one on the current address:
//     the agent answers both from the address that was used last.
//   - The flow had not been answered yet when the address changed.
//   - The Upstreams are deleted well before the service; until the service is deleted too, no network is
//     allowed to serve it.
//
// For a deleted service, drainFor is the value that the Policy function returns for an unknown service.
package entry
