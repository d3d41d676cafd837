package packetnode

import (
	"sync"

	"endiveflow.example/endiveflow/routing"
)

// encodedConfig holds the encoded form of the newest configuration that was served or fetched: after a mass start nearly all
// processes fetch it, and encoding it takes long on a slow VM.
type encodedConfig struct {
	mu sync.Mutex
	// version is that of the configuration that encoded holds. Guarded by mu.
	version uint64
	encoded []byte
}

// keep keeps the encoded form of a configuration, as it was fetched.
func (c *encodedConfig) keep(version uint64, encoded []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.encoded = version, encoded
}

// of returns the encoded form of a configuration.
func (c *encodedConfig) of(t *routing.Table) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encoded != nil && c.version == t.Version {
		return c.encoded, nil
	}
	encoded, err := t.Encode()
	if err != nil {
		return nil, err
	}
	c.version, c.encoded = t.Version, encoded
	return encoded, nil
}
