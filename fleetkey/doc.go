// Package fleetkey holds the secret keys that the processes of a fleet share,
// derives keys for each purpose from them, seals datagrams between processes
// and issues the certificates of mutual TLS between processes.
//
// A ring has several keys so that keys rotate: a new key is first accepted by
// every process, then made active, and the old key is removed last.
package fleetkey
