package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/strictyaml"
)

// Spec returns the specification of an object, or nil if it has none.
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

// MarshalYAML returns an object as a document that Load can read. It includes the version, so that applying an
// edited copy is based on the version that was read.
func MarshalYAML(o Object) ([]byte, error) {
	spec, err := specJSON(o)
	if err != nil {
		return nil, err
	}
	block, err := yaml.JSONToYAML(spec)
	if err != nil {
		return nil, fmt.Errorf("encoding %s: %w", o.Key, err)
	}
	doc := document(o, block)
	if roundTrips(doc, spec) {
		return doc, nil
	}
	// The block style of the library does not preserve some texts, such as carriage returns. JSON is also valid
	// YAML and quotes every text.
	var indented bytes.Buffer
	if err := json.Indent(&indented, spec, "", "  "); err != nil {
		return nil, fmt.Errorf("encoding %s: %w", o.Key, err)
	}
	doc = document(o, indented.Bytes())
	if !roundTrips(doc, spec) {
		return nil, errors.NotSupportedf("printing %s, with text that YAML cannot represent,", o.Key)
	}
	return doc, nil
}

// specJSON returns the specification as a single line of JSON.
func specJSON(o Object) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(o.Spec()); err != nil {
		return nil, fmt.Errorf("encoding %s: %w", o.Key, err)
	}
	return b.Bytes(), nil
}

func document(o Object, spec []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "kind: %s\nname: %s\nversion: %d\nspec:\n", o.Kind, o.Name, o.Version)
	for line := range bytes.Lines(spec) {
		b.WriteString("  ")
		b.Write(bytes.TrimSuffix(line, []byte("\n")))
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// roundTrips reports whether Load reads the document as the given specification.
func roundTrips(doc, spec []byte) bool {
	docs, problems := strictyaml.Read("", doc)
	if len(docs) != 1 || len(problems) > 0 {
		return false
	}
	read := loadObject(docs[0])
	got, err := specJSON(read.Object)
	return err == nil && len(docs[0].Problems) == 0 && bytes.Equal(got, spec)
}
