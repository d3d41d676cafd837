package strictyaml

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/juju/errors"
)

// MaxFileBytes is the maximum size of a file in bytes.
const MaxFileBytes = 16 << 20

// position is a place in a file.
type position struct{ line, column int }

// Document is one document of a file and the problems found in it.
type Document struct {
	file string
	node ast.Node
	// positions holds the position of each key that has been decoded.
	positions map[string]position
	// Problems are the errors found so far.
	Problems FileErrors
}

// Raw is a part of a document that is decoded later with Document.Decode.
type Raw struct {
	node ast.Node
	path string
}

// Scalar is the text of a string, number or boolean, as written in the file.
type Scalar string

// ReadFile returns the documents of a file. Empty documents are left out.
func ReadFile(name string) ([]*Document, FileErrors) {
	info, err := os.Stat(name)
	if err == nil && info.Size() > MaxFileBytes {
		err = errors.NotValidf("file of %d bytes, more than %d", info.Size(), MaxFileBytes)
	}
	var data []byte
	if err == nil {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, FileErrors{{File: name, Text: err.Error(), Expected: "a readable file"}}
	}
	return Read(name, data)
}

// Read returns the documents in data; name is the file name in problems.
//
// The documents are split before parsing, because the parser drops the documents that follow an empty one.
func Read(name string, data []byte) ([]*Document, FileErrors) {
	data = bytes.TrimPrefix(data, []byte("\ufeff"))
	if !utf8.Valid(data) {
		valid := bytes.ToValidUTF8(data, nil)
		linesBefore := bytes.Count(data[:commonLength(data, valid)], []byte("\n"))
		return nil, FileErrors{{File: name, Line: linesBefore + 1, Column: 1, Text: "line is not UTF-8", Expected: "UTF-8 text"}}
	}
	var docs []*Document
	var problems FileErrors
	chunk := []byte{}
	flush := func() {
		d, found := parse(name, chunk)
		problems = append(problems, found...)
		if d != nil {
			docs = append(docs, d)
		}
	}
	for i, line := range bytes.SplitAfter(data, []byte("\n")) {
		text := strings.TrimRight(string(line), " \t\r\n")
		switch {
		case text == "---":
			flush()
			// Blank lines preserve the line numbers in the next document.
			chunk = bytes.Repeat([]byte("\n"), i+1)
		case text == "..." || strings.HasPrefix(text, "--- ") || strings.HasPrefix(text, "%"):
			problems = append(problems, Problem{File: name, Line: i + 1, Column: 1, Text: "unsupported document marker or directive", Expected: `"---" alone on its line between documents`})
			chunk = append(chunk, '\n')
		default:
			chunk = append(chunk, line...)
		}
	}
	flush()
	return docs, problems
}

// commonLength returns the length of the common prefix of a and b.
func commonLength(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func parse(name string, chunk []byte) (*Document, FileErrors) {
	file, err := parser.ParseBytes(chunk, 0)
	if err != nil {
		return nil, FileErrors{syntaxProblem(name, err)}
	}
	d := &Document{file: name, positions: make(map[string]position)}
	for _, doc := range file.Docs {
		switch {
		case doc.Body == nil:
		case d.node == nil:
			d.node = doc.Body
		default:
			d.report(positionOf(doc.Body), "", "second document without a separator", `"---" alone on its line between documents`)
		}
	}
	if d.node == nil {
		return nil, nil
	}
	d.positions[""] = positionOf(d.node)
	return d, nil
}

func syntaxProblem(name string, err error) Problem {
	p := Problem{File: name, Text: err.Error(), Expected: "well-formed YAML"}
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		p.Text = syntax.GetMessage()
		if tk := syntax.GetToken(); tk != nil && tk.Position != nil {
			p.Line, p.Column = tk.Position.Line, tk.Position.Column
		}
	}
	return p
}

// DecodeDocument decodes the whole document into a struct.
func (d *Document) DecodeDocument(into any) {
	d.decode(d.node, "", reflect.ValueOf(into).Elem())
}

// Decode decodes a part of the document into a value.
func (d *Document) Decode(raw Raw, into any) {
	if raw.node != nil {
		d.decode(raw.node, raw.path, reflect.ValueOf(into).Elem())
	}
}

// Reportf adds a problem at a key. A key that is not in the document is
// reported at its nearest parent.
func (d *Document) Reportf(key, expected, format string, args ...any) {
	d.report(d.positionAt(key), key, fmt.Sprintf(format, args...), expected)
}

func (d *Document) positionAt(key string) position {
	for {
		if pos, ok := d.positions[key]; ok {
			return pos
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return d.positions[""]
		}
		key = key[:cut]
	}
}

// Failed reports whether a problem was reported at a key or below it.
func (d *Document) Failed(key string) bool {
	for _, p := range d.Problems {
		if p.Key == key || strings.HasPrefix(p.Key, key+".") || strings.HasPrefix(p.Key, key+"[") {
			return true
		}
	}
	return false
}

// Has reports whether a key is present in the document.
func (d *Document) Has(key string) bool {
	_, ok := d.positions[key]
	return ok
}

func (d *Document) report(pos position, key, text, expected string) {
	d.Problems = append(d.Problems, Problem{File: d.file, Line: pos.line, Column: pos.column, Key: key, Text: text, Expected: expected})
}

func positionOf(node ast.Node) position {
	var tk *token.Token
	switch n := node.(type) {
	case *ast.MappingNode:
		tk = n.Start
		if len(n.Values) > 0 && !n.IsFlowStyle {
			tk = n.Values[0].Key.GetToken()
		}
	case *ast.MappingValueNode:
		tk = n.Key.GetToken()
	default:
		tk = node.GetToken()
	}
	if tk == nil || tk.Position == nil {
		return position{}
	}
	return position{line: tk.Position.Line, column: tk.Position.Column}
}
