// Package mesh is the protocol between entries and agents of the packet path.
// A Message travels in one UDP datagram: a fixed head, a list of candidates,
// and a packet or a report. The head is coded by hand, because it travels with every
// packet; reports are CBOR.
//
// Every message carries the version of the sender's configuration, so that
// whoever is behind learns of it from ordinary traffic.
package mesh
