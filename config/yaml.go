package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/strictyaml"
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
	spec, err := specJSON(o)
	if err != nil {
		return nil, err
	}
	block, err := yaml.JSONToYAML(spec)
	if err != nil {
		return nil, fmt.Errorf("encoding %s: %w", o.Key, err)
	}
	doc := document(o, block)
	if readsBack(doc, spec) {
		return doc, nil
	}
	// The library's block style loses some texts, carriage returns among them.
	// JSON is YAML too and quotes every text.
	var indented bytes.Buffer
	if err := json.Indent(&indented, spec, "", "  "); err != nil {
		return nil, fmt.Errorf("encoding %s: %w", o.Key, err)
	}
	doc = document(o, indented.Bytes())
	if !readsBack(doc, spec) {
		return nil, errors.NotSupportedf("printing %s, whose text YAML cannot hold,", o.Key)
	}
	return doc, nil
}

// specJSON returns the specification as one line of JSON.
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

// readsBack says whether Load reads the document as the given specification.
func readsBack(doc, spec []byte) bool {
	docs, problems := strictyaml.Read("", doc)
	if len(docs) != 1 || len(problems) > 0 {
		return false
	}
	read := loadObject(docs[0])
	got, err := specJSON(read.Object)
	return err == nil && len(docs[0].Problems) == 0 && bytes.Equal(got, spec)
}
