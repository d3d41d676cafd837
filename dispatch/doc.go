// Package dispatch is the agent's HTTP handler. It classifies each request,
// admits it to a slot of the local upstream, hands it to a peer agent or refuses
// it, retries what may be retried, and runs non-repeatable requests at most once.
//
// ServeHTTP takes the requests of callers. PeerHandler takes those that other
// agents hand over, which are never forwarded again. The header endiveflow-handover
// says what is asked: "slot" a free slot, "lighter" a free slot if the load is less than
// the sender's, "queue" also a place in the queue, and "home" the run of a
// request with a key of this agent.
//
// Each answer has the header endiveflow-outcome. "not-run" is sent only when no
// byte of the request was passed to an upstream or when the upstream itself said that
// it shed the request. Whatever else fails is "unknown".
//
// A run with a key does not end with the connection of its caller: a caller whose
// connection broke repeats the request and gets the saved answer. The run ends at its
// deadline. All other requests are cancelled with their caller.
package dispatch
