// Package entry is the role of the processes behind the fabric. Its forwarder
// passes the packets of callers to agents and the answers back, and holds no
// state of any flow.
package entry
