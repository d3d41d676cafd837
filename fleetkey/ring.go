package fleetkey

import (
	"crypto/hkdf"
	"crypto/sha256"
	"fmt"

	"github.com/juju/errors"
)

// MinSecretBytes is the shortest accepted secret.
const MinSecretBytes = 32

// Purpose is what a derived key is used for. Keys for different purposes are independent.
type Purpose string

// Purposes of derived keys.
const (
	PurposeConnectionID   Purpose = "connectionId"
	PurposeRequestKey     Purpose = "requestKey"
	PurposeTunnel         Purpose = "tunnel"
	PurposeControl        Purpose = "control"
	PurposePeer           Purpose = "peer"
	PurposeStatelessReset Purpose = "statelessReset"
	PurposeToken          Purpose = "token"
	PurposeTicket         Purpose = "ticket"
)

// Key is one secret of the ring.
type Key struct {
	// ID is included in everything that is encrypted with the key, so that a receiver can find the key.
	ID uint8
	// Secret is at least MinSecretBytes long and is never sent.
	Secret []byte
}

// Config configures a Ring.
type Config struct {
	// Keys are the accepted keys; the first is the active one. IDs are unique.
	Keys []Key
}

// Ring is an immutable set of fleet keys. It is safe for concurrent use.
type Ring struct {
	keys   []Key
	byID   [256]*Key
	active uint8
}

// New returns a ring, or an error of kind errors.NotValid.
func New(cfg Config) (*Ring, error) {
	if len(cfg.Keys) == 0 {
		return nil, errors.NotValidf("key ring without keys")
	}
	r := &Ring{keys: append([]Key(nil), cfg.Keys...), active: cfg.Keys[0].ID}
	for i := range r.keys {
		k := &r.keys[i]
		if len(k.Secret) < MinSecretBytes {
			return nil, errors.NotValidf("secret of fleet key %d: %d bytes, need at least %d", k.ID, len(k.Secret), MinSecretBytes)
		}
		if r.byID[k.ID] != nil {
			return nil, errors.NotValidf("second fleet key with ID %d", k.ID)
		}
		r.byID[k.ID] = k
	}
	return r, nil
}

// ActiveID returns the ID of the active key, with which new data is encrypted and new certificates are
// signed.
func (r *Ring) ActiveID() uint8 { return r.active }

// IDs returns the IDs of all accepted keys, the active one first.
func (r *Ring) IDs() []uint8 {
	ids := make([]uint8, len(r.keys))
	for i, k := range r.keys {
		ids[i] = k.ID
	}
	return ids
}

// Derive derives n bytes of key material for a purpose and a context, such as a service name. An unknown
// key ID gives an error of kind errors.NotFound.
func (r *Ring) Derive(id uint8, purpose Purpose, context string, n int) ([]byte, error) {
	k := r.byID[id]
	if k == nil {
		return nil, errors.NotFoundf("fleet key %d", id)
	}
	out, err := hkdf.Key(sha256.New, k.Secret, nil, string(purpose)+"\x00"+context, n)
	if err != nil {
		return nil, fmt.Errorf("deriving %s key: %w", purpose, err)
	}
	return out, nil
}
