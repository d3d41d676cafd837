package quicheader

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// ShortIDLen is the length in bytes of the destination connection ID that Parse expects in a short header,
// which does not contain its length.
const ShortIDLen = 20

// maxIDLen is the length of the longest connection ID in QUIC versions 1 and 2, the only versions that
// agents support.
const maxIDLen = 20

const (
	formBit       = 0x80
	versionAt     = 1
	destinationAt = 5
)

// Header is the version-independent header of one packet. The IDs are slices
// of the parsed packet.
type Header struct {
	// Long reports whether the packet has a long header.
	Long bool
	// Version is 0 in short headers and in Version Negotiation packets.
	Version uint32
	// Destination is the destination connection ID.
	Destination []byte
	// Source is the source connection ID; nil in short headers.
	Source []byte
}

// The errors of Parse are allocated once, so that a flood of malformed packets causes no allocations.
var (
	errShort = errors.NotValidf("QUIC packet that ends within its header")
	errID    = errors.NotValidf("QUIC connection ID longer than %d bytes", maxIDLen)
)

// Parse parses the header of the first packet in a datagram. It does not allocate. Errors are of kind
// errors.NotValid.
func Parse(packet []byte) (Header, error) {
	if len(packet) == 0 {
		return Header{}, errShort
	}
	if packet[0]&formBit == 0 {
		return parseShort(packet)
	}
	return parseLong(packet)
}

func parseShort(packet []byte) (Header, error) {
	if len(packet) < 1+ShortIDLen {
		return Header{}, errShort
	}
	return Header{Destination: packet[1 : 1+ShortIDLen]}, nil
}

func parseLong(packet []byte) (Header, error) {
	if len(packet) < destinationAt {
		return Header{}, errShort
	}
	h := Header{Long: true, Version: binary.BigEndian.Uint32(packet[versionAt:])}
	rest := packet[destinationAt:]
	var err error
	if h.Destination, rest, err = cutID(rest); err != nil {
		return Header{}, err
	}
	if h.Source, _, err = cutID(rest); err != nil {
		return Header{}, err
	}
	return h, nil
}

// cutID splits b into the ID that follows its length byte, and the rest.
func cutID(b []byte) (id, rest []byte, err error) {
	if len(b) == 0 {
		return nil, nil, errShort
	}
	n := int(b[0])
	if n > maxIDLen {
		return nil, nil, errID
	}
	if len(b) < 1+n {
		return nil, nil, errShort
	}
	return b[1 : 1+n], b[1+n:], nil
}
