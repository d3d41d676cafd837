package packetnode

import (
	"sync"

	"endiveflow.example/endiveflow/routing"
)

// encodedConfig holds the encoded form of the newest configuration that was served or fetched: after a mass start nearly all
// processes fetch it, and encoding it takes long on a slow VM.
type encodedConfig struct {
	mu sync.Mutex
	// table is the configuration that encoded holds; two tables of one version may differ, see routing.Holder.StoreIfNewer.
	// Guarded by mu.
	table   *routing.Table
	encoded []byte
}

// keep keeps the encoded form of a configuration, as it was fetched.
func (c *encodedConfig) keep(t *routing.Table, encoded []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table, c.encoded = t, encoded
}

// of returns the encoded form of a configuration.
func (c *encodedConfig) of(t *routing.Table) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encoded != nil && c.table == t {
		return c.encoded, nil
	}
	encoded, err := t.Encode()
	if err != nil {
		return nil, err
	}
	c.table, c.encoded = t, encoded
	return encoded, nil
}
