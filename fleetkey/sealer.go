package fleetkey

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync/atomic"

	"github.com/juju/errors"
)

// Sizes in bytes of the parts that Seal adds.
const (
	aeadKeyBytes = 32
	// NonceBytes is the length of the nonce: 4 random bytes per process and an 8-byte counter.
	NonceBytes = 12
	// TagBytes is the length of the authentication tag.
	TagBytes = 16
	// Overhead is the number of bytes that Seal adds to a plaintext: key ID, nonce and tag.
	Overhead = 1 + NonceBytes + TagBytes
)

// Sealer encrypts and authenticates datagrams with the keys of one purpose.
// It is safe for concurrent use.
type Sealer struct {
	// aeads is indexed by key ID; nil means that the key is not accepted.
	aeads  [256]cipher.AEAD
	active uint8
	// counter never repeats within a process. Its initial value and prefix are random, so that the nonces
	// of different processes differ.
	counter atomic.Uint64
	prefix  [4]byte
}

// Sealer returns a sealer for a purpose.
func (r *Ring) Sealer(purpose Purpose) (*Sealer, error) {
	s := &Sealer{active: r.active}
	for _, id := range r.IDs() {
		aead, err := r.aead(id, purpose)
		if err != nil {
			return nil, fmt.Errorf("creating sealer: %w", err)
		}
		s.aeads[id] = aead
	}
	var seed [12]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("reading random nonce prefix: %w", err)
	}
	copy(s.prefix[:], seed[:4])
	s.counter.Store(binary.BigEndian.Uint64(seed[4:]))
	return s, nil
}

func (r *Ring) aead(id uint8, purpose Purpose) (cipher.AEAD, error) {
	key, err := r.Derive(id, purpose, "", aeadKeyBytes)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("creating %s cipher: %w", purpose, err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, fmt.Errorf("creating %s AEAD: %w", purpose, err)
	}
	return aead, nil
}

// Seal appends the key ID, the nonce and the encrypted plaintext to dst. The header is authenticated but
// not included in the output; it may be nil.
func (s *Sealer) Seal(dst, plaintext, header []byte) []byte {
	dst = append(dst, s.active)
	nonceAt := len(dst)
	dst = append(dst, s.prefix[:]...)
	dst = binary.BigEndian.AppendUint64(dst, s.counter.Add(1))
	return s.aeads[s.active].Seal(dst, dst[nonceAt:nonceAt+NonceBytes], plaintext, header)
}

// Open appends the plaintext of sealed to dst. Errors are of kind
// errors.NotFound (key), errors.NotValid (too short) or errors.Unauthorized (tag).
func (s *Sealer) Open(dst, sealed, header []byte) ([]byte, error) {
	if len(sealed) < Overhead {
		return nil, errShort
	}
	aead := s.aeads[sealed[0]]
	if aead == nil {
		return nil, errUnknownKey
	}
	out, err := aead.Open(dst, sealed[1:1+NonceBytes], sealed[1+NonceBytes:], header)
	if err != nil {
		return nil, errForged
	}
	return out, nil
}

// The errors of Open are allocated once, so that a flood of forged datagrams causes no allocations.
var (
	errShort      = errors.NotValidf("sealed datagram shorter than its overhead")
	errUnknownKey = errors.NotFoundf("fleet key of sealed datagram")
	errForged     = errors.Unauthorizedf("sealed datagram with a wrong tag")
)
