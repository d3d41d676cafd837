package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/goccy/go-yaml"
)

// Spec returns the specification of an object, or nil when it has none.
func (o Object) Spec() any {
	switch {
	case o.Service != nil:
		return o.Service
	case o.Upstream != nil:
		return o.Upstream
	case o.Defaults != nil:
		return o.Defaults
	case o.Exception != nil:
		return o.Exception
	}
	return nil
}

// MarshalYAML returns an object as a document that Load reads. The version is
// part of it, so that applying an edited copy is based on the version read.
func MarshalYAML(o Object) ([]byte, error) {
	spec, err := json.Marshal(o.Spec())
	if err != nil {
		return nil, fmt.Errorf("encoding %s: %w", o.Key, err)
	}
	specYAML, err := yaml.JSONToYAML(spec)
	if err != nil {
		return nil, fmt.Errorf("encoding %s: %w", o.Key, err)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "kind: %s\nname: %s\nversion: %d\nspec:\n", o.Kind, o.Name, o.Version)
	for line := range bytes.Lines(specYAML) {
		b.WriteString("  ")
		b.Write(line)
	}
	return b.Bytes(), nil
}
