// Package mesh defines the protocol between the entries and agents of the packet path. A Message is sent as
// one UDP datagram: a header of fixed size, a list of candidates, and a packet or a report. The header is
// encoded by hand, because it is sent with every packet; reports are encoded as CBOR.
//
// Every message contains the version of the sender's configuration, so that processes with an older
// configuration notice it from ordinary traffic.
package mesh
