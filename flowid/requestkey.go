package flowid

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/fleetkey"
	"endiveflow.example/endiveflow/member"
)

// requestKeyBytes is the length of a key's plaintext: address, port, service,
// incarnation, sequence, issue time.
const requestKeyBytes = 4 + 2 + 4 + 8 + 8 + 8

// RequestKeyLen is the length of the text of a request key.
const RequestKeyLen = (fleetkey.Overhead + requestKeyBytes) * 4 / 3

// RequestKey identifies a non-repeatable request and the only incarnation of an agent that may run it, its
// home.
type RequestKey struct {
	// Home is the peer address of the agent that issued the key. It is IPv4.
	Home        netip.AddrPort
	Service     config.ServiceTag
	Incarnation member.Incarnation
	// Sequence is unique within the incarnation.
	Sequence uint64
	// Issued has a resolution of 1 ms.
	Issued time.Time
}

// KeyCodec issues and parses request keys. It is safe for concurrent use.
type KeyCodec struct {
	sealer *fleetkey.Sealer
}

// NewKeyCodec returns a codec, or an error of kind errors.NotValid.
func NewKeyCodec(cfg Config) (*KeyCodec, error) {
	if cfg.Ring == nil {
		return nil, errors.NotValidf("request key codec without key ring")
	}
	sealer, err := cfg.Ring.Sealer(fleetkey.PurposeRequestKey)
	if err != nil {
		return nil, fmt.Errorf("request key codec: %w", err)
	}
	return &KeyCodec{sealer: sealer}, nil
}

// Issue returns the text of a key, RequestKeyLen characters of base64url. Parse rejects the key if its home
// is not IPv4.
func (c *KeyCodec) Issue(k RequestKey) string {
	var ip [4]byte
	if addr := k.Home.Addr().Unmap(); addr.Is4() {
		ip = addr.As4()
	}
	b := make([]byte, 0, requestKeyBytes)
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, k.Home.Port())
	b = binary.BigEndian.AppendUint32(b, uint32(k.Service))
	b = binary.BigEndian.AppendUint64(b, uint64(k.Incarnation))
	b = binary.BigEndian.AppendUint64(b, k.Sequence)
	b = binary.BigEndian.AppendUint64(b, uint64(k.Issued.UnixMilli()))
	return base64.RawURLEncoding.EncodeToString(c.sealer.Seal(nil, b, nil))
}

// Parse returns the key encoded in text. Errors are of kind errors.NotFound (fleet key), errors.NotValid
// (form) or errors.Unauthorized (not issued by the fleet).
func (c *KeyCodec) Parse(text string) (RequestKey, error) {
	if len(text) != RequestKeyLen {
		return RequestKey{}, errors.NotValidf("request key of %d characters", len(text))
	}
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return RequestKey{}, errors.NotValidf("request key that is not base64url")
	}
	b, err := c.sealer.Open(nil, sealed, nil)
	if err != nil {
		return RequestKey{}, fmt.Errorf("opening request key: %w", err)
	}
	home := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
	if home.Addr().IsUnspecified() {
		return RequestKey{}, errors.NotValidf("request key without home")
	}
	return RequestKey{
		Home:        home,
		Service:     config.ServiceTag(binary.BigEndian.Uint32(b[6:])),
		Incarnation: member.Incarnation(binary.BigEndian.Uint64(b[10:])),
		Sequence:    binary.BigEndian.Uint64(b[18:]),
		Issued:      time.UnixMilli(int64(binary.BigEndian.Uint64(b[26:]))),
	}, nil
}
