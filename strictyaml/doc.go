// Package strictyaml decodes YAML files strictly into structs and reports all errors at once, each with
// file, line, column, key and the expected form. It is used for the settings of processes and the
// configuration written by operators.
//
// The name of a field is that of its yaml tag, or else of its json tag. A field is required unless its tag
// has the option omitempty. Unknown keys, repeated keys, values of the wrong type, anchors, aliases and
// tags are errors.
package strictyaml
