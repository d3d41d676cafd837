// Package dispatch is the agent's HTTP handler. It classifies each request and runs it
// on a slot of the local upstream, hands it over to a peer agent, or refuses it. It retries
// requests where a retry is allowed, and runs non-repeatable requests at most once.
//
// ServeHTTP serves the requests of callers. PeerHandler serves those that other
// agents hand over. The header endiveflow-handover of such a request specifies how it is run:
//
//   - "slot": on a free slot of this agent's upstream, else it is refused.
//   - "lighter": as "slot", but only if the load of this agent is less than the sender's.
//   - "queue": on a slot of this agent's upstream, after waiting in the queue if need be.
//   - "home": by the key of the request, which this agent, or one whose ledger it has imported,
//     has issued.
//
// Requests with one of the first three values are never handed over again.
//
// The home of a request key is the agent that issued the key and alone may run its request. The
// home may run it on its own upstream or hand it over to a peer for the run.
//
// Each answer has the header endiveflow-outcome. It is "not-run" only if no byte of the
// request was sent to an upstream, or if the upstream itself reported that it shed
// the request. After any other failure it is "unknown".
//
// A run with a key continues when the connection of its caller breaks: the caller repeats
// the request and gets the saved answer. The run is cancelled at its deadline. All other
// requests are cancelled when their caller disconnects.
package dispatch
