// Package flowabsence decides from the answers of agents whether no host has a flow. It does no I/O.
//
// An entry may reset a flow that it can't find only if each agent whose host may have the flow has answered that its host
// doesn't. A missing answer, any other answer, and any contradiction leave the flow without proof.
package flowabsence
