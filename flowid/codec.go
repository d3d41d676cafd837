package flowid

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
	"github.com/quic-go/quic-go"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/fleetkey"
)

// Layout of a connection ID: key ID, nonce in plain text, encrypted block.
const (
	// ConnectionIDLen is the length of an issued connection ID in bytes, the longest that QUIC allows.
	ConnectionIDLen = 20
	nonceAt         = 1
	nonceBytes      = 3
	blockAt         = nonceAt + nonceBytes
)

// Layout of the encrypted block.
const (
	portAt        = 4
	serviceAt     = 6
	incarnationAt = 10
	checkAt       = 12
	// checkByte follows the nonce in the block; decoding checks both, 32 bits in total.
	checkByte = 0xe5
)

const (
	blockKeyBytes = 32
	// nonceSpace is the number of distinct nonces.
	nonceSpace = 1 << (8 * nonceBytes)
)

// Place is the location of a flow: the agent, service and incarnation that serve it.
type Place struct {
	// Agent is the tunnel address of the agent. It is IPv4.
	Agent   netip.AddrPort
	Service config.ServiceTag
	// Incarnation is the tag of the agent's incarnation.
	Incarnation uint16
}

// Config configures a Codec or a KeyCodec.
type Config struct {
	// Ring holds the accepted keys. The active one is used for encoding.
	Ring *fleetkey.Ring
}

// Codec decodes connection IDs and creates generators for them. It is safe for concurrent use.
type Codec struct {
	// blocks is indexed by key ID; nil means that the key is not accepted.
	blocks [256]cipher.Block
	active uint8
	// scratch holds *[aes.BlockSize]byte. The arguments of cipher.Block escape
	// to the heap, so decoding would allocate without it.
	scratch sync.Pool
}

// The errors of Decode are allocated once, so that a flood of foreign IDs causes no allocations.
var (
	errLength     = errors.NotValidf("connection ID of a length other than %d", ConnectionIDLen)
	errUnknownKey = errors.NotFoundf("fleet key of connection ID")
	errForeign    = errors.NotValidf("connection ID that no agent issued")
)

// New returns a codec, or an error of kind errors.NotValid.
func New(cfg Config) (*Codec, error) {
	if cfg.Ring == nil {
		return nil, errors.NotValidf("connection ID codec without key ring")
	}
	c := &Codec{active: cfg.Ring.ActiveID()}
	c.scratch.New = func() any { return new([aes.BlockSize]byte) }
	for _, id := range cfg.Ring.IDs() {
		key, err := cfg.Ring.Derive(id, fleetkey.PurposeConnectionID, "", blockKeyBytes)
		if err != nil {
			return nil, fmt.Errorf("deriving connection ID key: %w", err)
		}
		block, err := aes.NewCipher(key)
		if err != nil {
			return nil, fmt.Errorf("creating connection ID cipher: %w", err)
		}
		c.blocks[id] = block
	}
	return c, nil
}

// Decode returns the place encoded in an ID. It does not allocate. Errors are of kind errors.NotFound (key)
// or errors.NotValid (not issued by an agent). One in 2^32 random IDs passes the check.
func (c *Codec) Decode(id []byte) (Place, error) {
	if len(id) != ConnectionIDLen {
		return Place{}, errLength
	}
	block := c.blocks[id[0]]
	if block == nil {
		return Place{}, errUnknownKey
	}
	plain := c.scratch.Get().(*[aes.BlockSize]byte)
	block.Decrypt(plain[:], id[blockAt:])
	place, ok := parseBlock(plain, id[nonceAt:blockAt])
	c.scratch.Put(plain)
	if !ok {
		return Place{}, errForeign
	}
	return place, nil
}

func parseBlock(b *[aes.BlockSize]byte, nonce []byte) (Place, bool) {
	if [nonceBytes]byte(b[checkAt:]) != [nonceBytes]byte(nonce) || b[checkAt+nonceBytes] != checkByte {
		return Place{}, false
	}
	return Place{
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:])), binary.BigEndian.Uint16(b[portAt:])),
		Service:     config.ServiceTag(binary.BigEndian.Uint32(b[serviceAt:])),
		Incarnation: binary.BigEndian.Uint16(b[incarnationAt:]),
	}, true
}

// Generator issues connection IDs for one place. It is the
// quic.ConnectionIDGenerator of an agent and safe for concurrent use.
type Generator struct {
	block cipher.Block
	keyID uint8
	// fixed is the part of the block before the nonce, in plain text.
	fixed [checkAt]byte
	// The nonces are multiplier*n+offset, where n counts up in counter. The multiplier is odd, so no nonce
	// repeats within nonceSpace IDs.
	counter            atomic.Uint32
	multiplier, offset uint32
}

var _ quic.ConnectionIDGenerator = (*Generator)(nil)

// NewGenerator returns a generator for a place, whose agent must have an IPv4
// address; otherwise GenerateConnectionID returns an error of kind errors.NotValid.
func (c *Codec) NewGenerator(p Place) *Generator {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // crypto/rand.Read never returns an error.
	g := &Generator{
		keyID:      c.active,
		multiplier: binary.BigEndian.Uint32(seed[:]) | 1,
		offset:     binary.BigEndian.Uint32(seed[4:]),
	}
	if !p.Agent.Addr().Unmap().Is4() {
		return g
	}
	g.block = c.blocks[c.active]
	ip := p.Agent.Addr().Unmap().As4()
	copy(g.fixed[:], ip[:])
	binary.BigEndian.PutUint16(g.fixed[portAt:], p.Agent.Port())
	binary.BigEndian.PutUint32(g.fixed[serviceAt:], uint32(p.Service))
	binary.BigEndian.PutUint16(g.fixed[incarnationAt:], p.Incarnation)
	return g
}

// ConnectionIDLen returns the constant ConnectionIDLen.
func (g *Generator) ConnectionIDLen() int { return ConnectionIDLen }

// GenerateConnectionID returns an ID that the generator has not returned
// within its last 2^24 IDs.
func (g *Generator) GenerateConnectionID() (quic.ConnectionID, error) {
	if g.block == nil {
		return quic.ConnectionID{}, errors.NotValidf("connection ID of an agent without IPv4 address")
	}
	nonce := (g.counter.Add(1)*g.multiplier + g.offset) % nonceSpace
	var id [ConnectionIDLen]byte
	var plain [aes.BlockSize]byte
	copy(plain[:], g.fixed[:])
	plain[checkAt], plain[checkAt+1], plain[checkAt+2] = byte(nonce>>16), byte(nonce>>8), byte(nonce)
	plain[checkAt+nonceBytes] = checkByte
	id[0] = g.keyID
	copy(id[nonceAt:], plain[checkAt:checkAt+nonceBytes])
	g.block.Encrypt(id[blockAt:], plain[:])
	return quic.ConnectionIDFromBytes(id[:]), nil
}
