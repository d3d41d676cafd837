package apply

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"endiveflow.example/endiveflow/config"
)

// absent is printed in a diff for a setting without a value.
const absent = "-"

// maxDiffValueBytes bounds a value in a diff. Otherwise the diffs kept with an object would fill it if it has
// long lists.
const maxDiffValueBytes = 256

// diff lists the settings in which two objects differ, each as "path: old -> new".
func diff(old, next config.Object) []string {
	before, after := flatten(old), flatten(next)
	paths := make(map[string]bool, len(before)+len(after))
	for p := range before {
		paths[p] = true
	}
	for p := range after {
		paths[p] = true
	}
	var out []string
	for _, p := range slices.Sorted(maps.Keys(paths)) {
		x, y := valueAt(before, p), valueAt(after, p)
		if x != y {
			out = append(out, fmt.Sprintf("%s: %s -> %s", p, truncate(x), truncate(y)))
		}
	}
	return out
}

func truncate(value string) string {
	if len(value) <= maxDiffValueBytes {
		return value
	}
	return fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(value[:maxDiffValueBytes], ""), len(value))
}

func valueAt(values map[string]string, path string) string {
	if v, ok := values[path]; ok {
		return v
	}
	return absent
}

// flatten returns the settings of a specification by path. A list is a single value.
func flatten(o config.Object) map[string]string {
	out := make(map[string]string)
	spec, err := json.Marshal(o.Spec())
	if err != nil {
		return out // Specifications can always be encoded.
	}
	var tree map[string]any
	if json.Unmarshal(spec, &tree) == nil {
		flattenInto(out, "", tree)
	}
	return out
}

func flattenInto(out map[string]string, path string, tree map[string]any) {
	for key, value := range tree {
		at := key
		if path != "" {
			at = path + "." + key
		}
		switch v := value.(type) {
		case map[string]any:
			flattenInto(out, at, v)
		case string:
			out[at] = v
		default:
			text, _ := json.Marshal(v)
			out[at] = string(text)
		}
	}
}
