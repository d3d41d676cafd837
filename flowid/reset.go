package flowid

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/fleetkey"
)

// ResetTokenBytes is the length of a stateless reset token.
const ResetTokenBytes = 16

// StatelessResetKey returns the key that an agent passes to quic.Transport.
// keyID is the fleet key that issues the agent's connection IDs. An unknown
// key ID gives an error of kind errors.NotFound.
func StatelessResetKey(ring *fleetkey.Ring, keyID uint8, service config.ServiceTag) (quic.StatelessResetKey, error) {
	var key quic.StatelessResetKey
	derived, err := ring.Derive(keyID, fleetkey.PurposeStatelessReset, strconv.FormatUint(uint64(service), 16), len(key))
	if err != nil {
		return key, fmt.Errorf("deriving stateless reset key: %w", err)
	}
	copy(key[:], derived)
	return key, nil
}

// ResetToken returns the stateless reset token of a connection ID. It equals the token that quic.Transport
// announces when it has the same key.
func ResetToken(key quic.StatelessResetKey, id []byte) [ResetTokenBytes]byte {
	mac := hmac.New(sha256.New, key[:])
	mac.Write(id)
	var sum [sha256.Size]byte
	return [ResetTokenBytes]byte(mac.Sum(sum[:0]))
}

// ResetTokens computes the tokens for IDs of any accepted key and caches the derived keys. It is safe for
// concurrent use.
type ResetTokens struct {
	ring *fleetkey.Ring
	// keys maps resetKeyCacheKey to quic.StatelessResetKey. Its size is bounded by the number of accepted
	// keys times the number of services ever seen.
	keys sync.Map
}

type resetKeyCacheKey struct {
	keyID   uint8
	service config.ServiceTag
}

// NewResetTokens returns a ResetTokens for the keys of a ring.
func NewResetTokens(ring *fleetkey.Ring) *ResetTokens { return &ResetTokens{ring: ring} }

// Token returns the token of an ID that an agent of a service issued. Errors are of kind errors.NotValid
// (length) or errors.NotFound (key). Only IDs that were decoded successfully may be passed, so that foreign
// IDs cannot fill the cache.
func (r *ResetTokens) Token(id []byte, service config.ServiceTag) ([ResetTokenBytes]byte, error) {
	if len(id) != ConnectionIDLen {
		return [ResetTokenBytes]byte{}, errors.NotValidf("connection ID of %d bytes", len(id))
	}
	cacheKey := resetKeyCacheKey{keyID: id[0], service: service}
	if key, ok := r.keys.Load(cacheKey); ok {
		return ResetToken(key.(quic.StatelessResetKey), id), nil
	}
	key, err := StatelessResetKey(r.ring, cacheKey.keyID, cacheKey.service)
	if err != nil {
		return [ResetTokenBytes]byte{}, fmt.Errorf("reset token: %w", err)
	}
	r.keys.Store(cacheKey, key)
	return ResetToken(key, id), nil
}

// Lengths of a stateless reset packet in bytes (RFC 9000, section 10.3).
const (
	// minResetBytes is the length of the shortest packet that a caller accepts as a reset.
	minResetBytes = 21
	// maxResetBytes is the length at which a reset looks like any other packet, so that a longer one is not
	// needed.
	maxResetBytes = 43
)

// AppendReset appends the stateless reset packet that answers a packet of answeredBytes bytes. The reset is
// shorter than that packet, so that two endpoints cannot answer each other's resets for ever. The second
// result is false if a shorter packet would be too short for a reset.
func AppendReset(dst []byte, token [ResetTokenBytes]byte, answeredBytes int) ([]byte, bool) {
	n := min(answeredBytes-1, maxResetBytes)
	if n < minResetBytes {
		return dst, false
	}
	// A reset starts like a packet with a short header: first bits 01, then random bytes.
	dst = append(dst, byte(0x40|rand.Uint32()&0x3f))
	for range n - 1 - ResetTokenBytes {
		dst = append(dst, byte(rand.Uint32()))
	}
	return append(dst, token[:]...), true
}
