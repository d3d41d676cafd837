// Package flowid makes and reads the identifiers that carry a location: the
// connection IDs of QUIC flows, the stateless reset tokens that belong to them,
// and the keys of non-repeatable requests.
package flowid
