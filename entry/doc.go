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
// Flows on a former address are lost in part in these cases:
//
//   - An entry that starts after the change never binds the former address.
//     Packets that the fabric sends to it are lost, and so are answers that an
//     agent sends through it because another entry was silent; the agent moves
//     on to the next entry after a second.
//   - The operator deletes the Upstream objects of the service as well, so that
//     no network is allowed to serve it any more.
//   - A caller has two flows from one port to one agent, on the former and on the
//     present address: the agent answers both from the one last used.
//   - A flow had no answer yet when the address changed.
//
// While a service is deleted, its drainFor is the one that the Policy function
// returns for an unknown service.
package entry
