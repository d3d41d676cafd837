// Package strictyaml reads YAML files strictly into structs and reports all
// errors at once, each with file, line, column, key and the expected form. The
// settings of processes and the configuration of operators share it.
//
// A field is named by its yaml tag, or else its json tag, and is required
// unless the tag says omitempty. Unknown keys, repeated keys, values of another
// type, anchors, aliases and tags are errors.
package strictyaml
