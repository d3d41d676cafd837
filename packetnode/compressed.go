package packetnode

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/routing"
)

// gzipEncoding is the name of the encoding in HTTP headers.
const gzipEncoding = "gzip"

// compressedConfig holds the compressed form of the newest configuration that was served or fetched. Links of entries are
// narrow, and after a mass start nearly all processes fetch the configuration.
type compressedConfig struct {
	mu sync.Mutex
	// version is that of the configuration that encoded holds. Guarded by mu.
	version uint64
	encoded []byte
}

// keep keeps the compressed form of a configuration, as it was fetched.
func (c *compressedConfig) keep(version uint64, encoded []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.encoded = version, encoded
}

// of returns the compressed form of a configuration.
func (c *compressedConfig) of(t *routing.Table) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encoded != nil && c.version == t.Version {
		return c.encoded, nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compressing the configuration: %w", err)
	}
	if _, err := w.Write(t.Encoded); err != nil {
		return nil, fmt.Errorf("compressing the configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compressing the configuration: %w", err)
	}
	c.version, c.encoded = t.Version, b.Bytes()
	return c.encoded, nil
}

// decompress returns the configuration of a compressed form.
func decompress(encoded []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(encoded))
	if err != nil {
		return nil, fmt.Errorf("decompressing the configuration: %w", err)
	}
	b, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompressing the configuration: %w", err)
	}
	if len(b) > maxConfigBytes {
		return nil, errors.NotValidf("configuration of more than %d bytes", maxConfigBytes)
	}
	return b, nil
}
