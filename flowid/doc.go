// Package flowid encodes and decodes the identifiers that contain a location: the connection IDs of QUIC
// flows, with their stateless reset tokens, and the keys of non-repeatable requests.
package flowid
