// Command reviewfleet plays one scenario of the second review: it runs the project's programs as separate processes on
// loopback addresses, and beside them stand-ins of hosts, of a client, of the routers and of the operator that follow
// PROTOCOL.md and DEPLOY.md. The store is the project's own stand-in.
//
//	reviewfleet SCENARIO --out record.txt
//
// It exits with 1 if a rule was broken, with 0 if it held, and with 2 if the scenario could not be played. With TROUBLE=0 in
// the environment it leaves the disruption out.
package main
