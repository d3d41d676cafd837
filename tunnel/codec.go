package tunnel

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/fleetkey"
)

// Sizes in bytes.
const (
	// HeaderBytes is the number of bytes that encapsulation adds to a packet.
	HeaderBytes = 56
	// MaxInnerPacket is the length of the largest packet that a datagram carries. With the tunnel header
	// and the outer IP and UDP headers (28 bytes) it fits in 1,500 bytes.
	MaxInnerPacket = 1400
)

// version is the version of the header; datagrams with another version are rejected.
const version = 2

// Layout of the header.
const (
	kindAt          = 1
	keyIDAt         = 2
	flagsAt         = 3
	serviceAt       = 4
	incarnationAt   = 8
	callerAt        = 10
	secondOrEntryAt = 16
	addressAt       = 22
	nonceAt         = 28
	tagAt           = 40
	addrPortBytes   = 6
	keyBytes        = 32
)

// flagForwarded marks a packet that one agent forwarded to another.
const flagForwarded = 1

// Kind is the kind of packet that a datagram carries.
type Kind uint8

// Kinds of datagrams.
const (
	// KindFlow carries a packet whose connection ID was issued by the receiving agent.
	KindFlow Kind = iota + 1
	// KindFirstFlight carries a packet whose connection ID was chosen by the caller.
	KindFirstFlight
	// KindReturn carries a packet from an agent to a caller.
	KindReturn
)

// Header is the immutable header of a datagram.
type Header struct {
	Kind Kind
	// Forwarded reports that an agent forwarded the packet to another agent, which happens at most once per
	// packet.
	Forwarded bool
	Service   config.ServiceTag
	// Incarnation is the tag of the agent's incarnation: that of the receiver if an entry sends, that of
	// the sender if an agent sends.
	Incarnation uint16
	// Caller is the caller's address. It is IPv4.
	Caller netip.AddrPort
	// SecondOrEntry is the second candidate of a first flight or, when Forwarded is
	// set, the tunnel address of the entry that the answers go through. The
	// zero value means none; otherwise it is IPv4.
	SecondOrEntry netip.AddrPort
	// ServiceAddress is the service's address that the caller uses: an entry sets the address at which it
	// received the packet, and an agent sets the address from which the answer must be sent. The zero value
	// means the address that the service has now; otherwise it is IPv4.
	ServiceAddress netip.AddrPort
}

// Codec encapsulates and decapsulates packets. It is safe for concurrent use.
type Codec struct {
	// aeads is indexed by key ID; nil means that the key is not accepted.
	aeads  [256]cipher.AEAD
	active uint8
	// prefix and counter form the nonces. The prefix and the counter's initial value are random, so that
	// the nonces of different processes differ.
	prefix  [4]byte
	counter atomic.Uint64
	// tags holds *[fleetkey.TagBytes]byte. The arguments of cipher.AEAD escape
	// to the heap, so each datagram would allocate without it.
	tags sync.Pool
}

// The errors of Parse are allocated once, so that a flood of forged datagrams causes no allocations.
var (
	errShort      = errors.NotValidf("tunnel datagram shorter than its header")
	errVersion    = errors.NotSupportedf("version of tunnel datagram")
	errKind       = errors.NotValidf("kind of tunnel datagram")
	errUnknownKey = errors.NotFoundf("fleet key of tunnel datagram")
	errForged     = errors.Unauthorizedf("tunnel datagram with a wrong tag")
)

// NewCodec returns a codec, or an error of kind errors.NotValid.
func NewCodec(ring *fleetkey.Ring) (*Codec, error) {
	if ring == nil {
		return nil, errors.NotValidf("tunnel codec without key ring")
	}
	c := &Codec{active: ring.ActiveID()}
	c.tags.New = func() any { return new([fleetkey.TagBytes]byte) }
	for _, id := range ring.IDs() {
		aead, err := newAEAD(ring, id)
		if err != nil {
			return nil, fmt.Errorf("tunnel codec: %w", err)
		}
		c.aeads[id] = aead
	}
	var seed [12]byte
	_, _ = rand.Read(seed[:]) // crypto/rand.Read never returns an error.
	copy(c.prefix[:], seed[:])
	c.counter.Store(binary.BigEndian.Uint64(seed[4:]))
	return c, nil
}

func newAEAD(ring *fleetkey.Ring, id uint8) (cipher.AEAD, error) {
	key, err := ring.Derive(id, fleetkey.PurposeTunnel, "", keyBytes)
	if err != nil {
		return nil, fmt.Errorf("deriving key: %w", err)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("creating cipher: %w", err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, fmt.Errorf("creating AEAD: %w", err)
	}
	return aead, nil
}

// Append appends the datagram of a packet to dst. It does not allocate when
// dst has room for HeaderBytes and the packet.
func (c *Codec) Append(dst []byte, h Header, packet []byte) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, HeaderBytes)...)
	dst = append(dst, packet...)
	c.Encapsulate(dst[start:], h)
	return dst
}

// Encapsulate writes the header into the first HeaderBytes of datagram; the packet must already be in the
// rest. It does not allocate.
func (c *Codec) Encapsulate(datagram []byte, h Header) {
	head := datagram[:HeaderBytes]
	head[0] = version
	head[kindAt] = byte(h.Kind)
	head[keyIDAt] = c.active
	head[flagsAt] = 0
	if h.Forwarded {
		head[flagsAt] = flagForwarded
	}
	binary.BigEndian.PutUint32(head[serviceAt:], uint32(h.Service))
	binary.BigEndian.PutUint16(head[incarnationAt:], h.Incarnation)
	putAddrPort(head[callerAt:], h.Caller)
	putAddrPort(head[secondOrEntryAt:], h.SecondOrEntry)
	putAddrPort(head[addressAt:], h.ServiceAddress)
	copy(head[nonceAt:], c.prefix[:])
	binary.BigEndian.PutUint64(head[nonceAt+len(c.prefix):], c.counter.Add(1))
	clear(head[tagAt:])

	tag := c.tags.Get().(*[fleetkey.TagBytes]byte)
	c.aeads[c.active].Seal(tag[:0], head[nonceAt:tagAt], nil, datagram)
	copy(head[tagAt:], tag[:])
	c.tags.Put(tag)
}

// Parse authenticates a datagram and returns its header and the packet, which is a slice of the datagram.
// Parse clears the tag in the datagram, so a datagram can be parsed only once. It does not allocate. Errors
// are of kind errors.NotValid (form), errors.NotSupported (version), errors.NotFound (key) or
// errors.Unauthorized (tag).
func (c *Codec) Parse(datagram []byte) (Header, []byte, error) {
	if len(datagram) < HeaderBytes {
		return Header{}, nil, errShort
	}
	head := datagram[:HeaderBytes]
	if head[0] != version {
		return Header{}, nil, errVersion
	}
	aead := c.aeads[head[keyIDAt]]
	if aead == nil {
		return Header{}, nil, errUnknownKey
	}
	tag := c.tags.Get().(*[fleetkey.TagBytes]byte)
	copy(tag[:], head[tagAt:])
	clear(head[tagAt:])
	_, err := aead.Open(tag[:0], head[nonceAt:tagAt], tag[:], datagram)
	c.tags.Put(tag)
	if err != nil {
		return Header{}, nil, errForged
	}
	kind := Kind(head[kindAt])
	if kind < KindFlow || kind > KindReturn {
		return Header{}, nil, errKind
	}
	return Header{
		Kind:           kind,
		Forwarded:      head[flagsAt]&flagForwarded != 0,
		Service:        config.ServiceTag(binary.BigEndian.Uint32(head[serviceAt:])),
		Incarnation:    binary.BigEndian.Uint16(head[incarnationAt:]),
		Caller:         getAddrPort(head[callerAt:]),
		SecondOrEntry:  getAddrPort(head[secondOrEntryAt:]),
		ServiceAddress: getAddrPort(head[addressAt:]),
	}, datagram[HeaderBytes:], nil
}

// putAddrPort writes an IPv4 address and port, or zeros for any other address.
func putAddrPort(b []byte, a netip.AddrPort) {
	if !a.Addr().Is4() {
		clear(b[:addrPortBytes])
		return
	}
	ip := a.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

func getAddrPort(b []byte) netip.AddrPort {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
	if a == unspecified {
		return netip.AddrPort{}
	}
	return a
}

// unspecified is the encoding of a missing address in a header.
var unspecified = netip.AddrPortFrom(netip.IPv4Unspecified(), 0)
