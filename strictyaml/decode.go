package strictyaml

import (
	"encoding"
	"fmt"
	"log/slog"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Expected forms of values in problems.
const (
	formMapping  = "a mapping of keys to values"
	formList     = "a list"
	formString   = "a string"
	formBool     = "true or false"
	formDuration = "a duration such as 10s"
)

// textForms describes the expected form of the types that are parsed from text.
var textForms = map[reflect.Type]string{
	reflect.TypeFor[netip.Addr]():     "an IP address such as 10.0.0.1",
	reflect.TypeFor[netip.AddrPort](): "an IP address with port such as 10.0.0.1:443",
	reflect.TypeFor[netip.Prefix]():   "a network such as 10.0.0.0/24",
	reflect.TypeFor[slog.Level]():     "debug, info, warn or error",
}

var (
	rawType      = reflect.TypeFor[Raw]()
	scalarType   = reflect.TypeFor[Scalar]()
	durationType = reflect.TypeFor[time.Duration]()
)

// decode decodes a node into v and reports the values that do not fit.
func (d *Document) decode(node ast.Node, path string, v reflect.Value) {
	pos := positionOf(node)
	d.positions[path] = pos
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		d.report(pos, path, "anchors, aliases and tags are not accepted", "a plain value")
		return
	case *ast.NullNode:
		d.report(pos, path, "no value", expectedForm(v.Type()))
		return
	}
	switch v.Type() {
	case rawType:
		v.Set(reflect.ValueOf(Raw{node: node, path: path}))
		return
	case scalarType:
		d.decodeScalar(node, path, v)
		return
	}
	if _, ok := textForms[v.Type()]; ok || v.Type() == durationType {
		d.decodeText(node, path, v)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(node, path, v)
	case reflect.Slice:
		d.decodeList(node, path, v)
	case reflect.Map:
		d.decodeMap(node, path, v)
	default:
		d.decodeBasic(node, path, v)
	}
}

func expectedForm(t reflect.Type) string {
	if form, ok := textForms[t]; ok {
		return form
	}
	if t == durationType {
		return formDuration
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return formMapping
	case reflect.Slice:
		return formList
	case reflect.Bool:
		return formBool
	case reflect.Uint8:
		return "an integer from 0 to 255"
	case reflect.Int:
		return "an integer"
	}
	return formString
}

func describe(node ast.Node) string {
	switch n := node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode:
		return strconv.Quote(n.Value)
	case *ast.LiteralNode:
		return "a block of text"
	}
	return node.GetToken().Value
}

func (d *Document) wrongType(node ast.Node, path string, v reflect.Value) {
	d.report(positionOf(node), path, "wrong type: "+describe(node), expectedForm(v.Type()))
}

// text returns the text of a string node.
func text(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

func (d *Document) decodeText(node ast.Node, path string, v reflect.Value) {
	s, ok := text(node)
	if !ok {
		d.wrongType(node, path, v)
		return
	}
	if v.Type() == durationType {
		duration, err := time.ParseDuration(s)
		if err != nil {
			d.report(positionOf(node), path, fmt.Sprintf("%q is not a duration", s), formDuration)
			return
		}
		v.SetInt(int64(duration))
		return
	}
	unmarshaler, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	if !ok || s == "" || unmarshaler.UnmarshalText([]byte(s)) != nil {
		d.report(positionOf(node), path, fmt.Sprintf("%q is not accepted", s), expectedForm(v.Type()))
	}
}

func (d *Document) decodeScalar(node ast.Node, path string, v reflect.Value) {
	if s, ok := text(node); ok {
		v.SetString(s)
		return
	}
	switch node.(type) {
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		v.SetString(node.GetToken().Value)
	default:
		d.report(positionOf(node), path, "wrong type: "+describe(node), "a string, a number, true or false")
	}
}

func (d *Document) decodeBasic(node ast.Node, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		if s, ok := text(node); ok {
			v.SetString(s)
			return
		}
	case reflect.Bool:
		if n, ok := node.(*ast.BoolNode); ok {
			v.SetBool(n.Value)
			return
		}
	case reflect.Int:
		if n, err := integer(node); err == nil {
			v.SetInt(n)
			return
		}
	case reflect.Uint8:
		if n, err := integer(node); err == nil && n >= 0 && n <= 255 {
			v.SetUint(uint64(n))
			return
		}
	}
	d.wrongType(node, path, v)
}

// integer parses decimal integers only, because YAML's octal and hexadecimal forms are easily misread.
func integer(node ast.Node) (int64, error) {
	if _, ok := node.(*ast.IntegerNode); !ok {
		return 0, strconv.ErrSyntax
	}
	s := node.GetToken().Value
	if len(s) > 1 && s[0] == '0' {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseInt(s, 10, 64)
}

func (d *Document) decodeList(node ast.Node, path string, v reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.wrongType(node, path, v)
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		d.decode(item, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
	}
}

// pairs returns the entries of a mapping, which is represented by one of two node types.
func pairs(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// keyOf returns the text of a mapping's key.
func (d *Document) keyOf(pair *ast.MappingValueNode, path string) (string, bool) {
	key, ok := pair.Key.(*ast.StringNode)
	if !ok {
		d.report(positionOf(pair), path, "key is not a plain string", "a key such as zone")
		return "", false
	}
	return key.Value, true
}

func (d *Document) decodeMap(node ast.Node, path string, v reflect.Value) {
	entries, ok := pairs(node)
	if !ok {
		d.wrongType(node, path, v)
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for _, pair := range entries {
		key, ok := d.keyOf(pair, path)
		if !ok {
			continue
		}
		value := reflect.New(v.Type().Elem()).Elem()
		d.decode(pair.Value, join(path, key), value)
		v.SetMapIndex(reflect.ValueOf(key).Convert(v.Type().Key()), value)
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (d *Document) decodeStruct(node ast.Node, path string, v reflect.Value) {
	entries, ok := pairs(node)
	if !ok {
		d.wrongType(node, path, v)
		return
	}
	fields := fieldsOf(v)
	for _, pair := range entries {
		key, ok := d.keyOf(pair, path)
		if !ok {
			continue
		}
		i := indexOf(fields, key)
		if i < 0 {
			d.report(positionOf(pair), join(path, key), "unknown key", "one of "+names(fields))
			continue
		}
		fields[i].present = true
		d.decode(pair.Value, join(path, key), fields[i].value)
	}
	for _, f := range fields {
		if f.required && !f.present {
			d.report(d.positions[path], join(path, f.name), "missing key", expectedForm(f.value.Type()))
		}
	}
}

// field is one field of a struct, by its name in a file.
type field struct {
	name              string
	required, present bool
	value             reflect.Value
}

// fieldsOf returns the named fields of a struct and of its embedded structs.
func fieldsOf(v reflect.Value) []field {
	var out []field
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous {
			out = append(out, fieldsOf(v.Field(i))...)
			continue
		}
		tag, ok := f.Tag.Lookup("yaml")
		if !ok {
			tag = f.Tag.Get("json")
		}
		name, options, _ := strings.Cut(tag, ",")
		if !f.IsExported() || name == "" || name == "-" {
			continue
		}
		out = append(out, field{name: name, required: options != "omitempty", value: v.Field(i)})
	}
	return out
}

func indexOf(fields []field, name string) int {
	for i, f := range fields {
		if f.name == name {
			return i
		}
	}
	return -1
}

func names(fields []field) string {
	out := make([]string, len(fields))
	for i, f := range fields {
		out[i] = f.name
	}
	return strings.Join(out, ", ")
}
