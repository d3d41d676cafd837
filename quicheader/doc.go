// Package quicheader reads the fields of a QUIC packet that no version of QUIC
// changes (RFC 8999): the header form, the version and the connection IDs.
package quicheader
