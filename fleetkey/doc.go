// Package fleetkey holds the secret keys that the processes of a fleet share,
// derives keys for each purpose from them, seals datagrams between processes
// and issues the certificates of mutual TLS between processes.
//
// A ring has several keys to allow key rotation: a new key is first added as accepted at every process,
// then made active, and finally the old key is removed.
package fleetkey
