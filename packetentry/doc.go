// Package packetentry implements the entry of the packet path: the process that receives the packets of
// callers from the fabric. It finds the route of a new flow, offers the flow to agents of the service,
// records which agent has it, and searches for the agent of a flow that it has no record of.
//
// # Where a flow is found
//
// A packet of a flow goes to the first of these that has an answer. Each later one costs more datagrams and is tried only after
// those before it:
//
//   - The entry's own record (Entry, holders.go). It names the agent that took the flow, and others that may have.
//   - The flow's directory agents, one after the other (rendezvous.go; packetagent/directory.go). The agent that takes a flow
//     announces it to the first agents in rendezvous order, which forward searches to it.
//   - The first agents in rendezvous order, all at once (search.go). They were the flow's candidates. One that started after
//     its host gives the host the packet once (packetagent/probe.go).
//   - The first agents of other services, which answer from their records.
//   - All agents of the route's services.
//   - Nobody: a query to all agents proves that no host has the flow, and the entry resets it (absence.go, package flowabsence).
//
// Budgets bound the steps to several agents at once (repeats.go).
//
// Entry is the state machine. It owns no sockets and no timers: package packetnode provides them, and the
// functions in Config connect the two.
package packetentry
