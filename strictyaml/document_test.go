package strictyaml_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/strictyaml"
)

type sample struct {
	Name   string                       `yaml:"name"`
	Wait   time.Duration                `yaml:"wait,omitempty"`
	Counts []int                        `yaml:"counts,omitempty"`
	Set    map[string]strictyaml.Scalar `yaml:"set,omitempty"`
	Inner  struct {
		On bool `json:"on"`
	} `yaml:"inner,omitempty"`
	Rest strictyaml.Raw `yaml:"rest,omitempty"`
}

// Guards against documents that are dropped without an error: on its own, the parser drops the documents
// that follow an empty one.
func TestDocumentsAfterAnEmptyOne(t *testing.T) {
	docs, problems := strictyaml.Read("f", []byte("# none\n---\n---\nname: a\n---\n\n---\nname: 1\n"))
	require.Empty(t, problems)
	require.Len(t, docs, 2)
	var s sample
	docs[0].DecodeDocument(&s)
	require.Empty(t, docs[0].Problems)
	require.Equal(t, "a", s.Name)
	docs[1].DecodeDocument(&s)
	require.Equal(t, "f:8:7: name: wrong type: 1; expected a string", docs[1].Problems.Error())
}

// Guards against bytes that are not UTF-8, which encoding as JSON for the store would replace.
func TestEncoding(t *testing.T) {
	_, problems := strictyaml.Read("f", []byte("name: a\nset: {a: \xff}\n"))
	require.Equal(t, "f:2:1: line is not UTF-8; expected UTF-8 text", problems.Error())
	docs, problems := strictyaml.Read("f", []byte("\ufeffname: a\r\n"))
	require.Empty(t, problems)
	var s sample
	docs[0].DecodeDocument(&s)
	require.Empty(t, docs[0].Problems)
	require.Equal(t, "a", s.Name)
}

// Guards against panics, and errors without a position, from malformed files.
func FuzzRead(f *testing.F) {
	f.Add([]byte("name: a\nwait: 10s\ncounts: [1, 2]\nset: {a: 0.5}\ninner: {on: true}\nrest: {x: [y]}\n"))
	f.Add([]byte("name: &a b\n---\nname: *a\n? [x]\n: y\n"))
	f.Add([]byte("<<: {name: a}\nname: |\n  text\ncounts:\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		docs, problems := strictyaml.Read("f", data)
		for _, d := range docs {
			var s, rest sample
			d.DecodeDocument(&s)
			d.Decode(s.Rest, &rest)
			d.Reportf("set.a.b[3]", "", "test")
			for _, p := range d.Problems {
				require.Positive(t, p.Line, "%s", p)
			}
			problems = append(problems, d.Problems...)
		}
		if len(problems) > 0 {
			require.Error(t, problems.Err())
		}
	})
}
