package main

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
)

type getCommand struct {
	storeFlags
	Output string   `enum:"yaml,json,table" default:"yaml" help:"Form of the output: yaml, which apply reads, json or table."`
	Keys   []string `arg:"" optional:"" help:"Objects to print, such as Service/rota; default all."`
}

// getObject is the JSON form of an object.
type getObject struct {
	Kind    config.Kind `json:"kind"`
	Name    string      `json:"name"`
	Version uint64      `json:"version"`
	Spec    any         `json:"spec"`
}

// Help returns examples of the command.
func (getCommand) Help() string {
	return `Prints objects with their versions. The YAML form can be edited and applied; a change by someone else in between is then reported as a conflict.

Examples:
  endiveflow get --platform http://127.0.0.2:7400 Service/rota > rota.yaml
  endiveflow get --platform http://127.0.0.2:7400 --output table`
}

// Run prints live objects.
func (c getCommand) Run(ctx context.Context, out io.Writer) error {
	keys, err := parseKeys(c.Keys)
	if err != nil {
		return err
	}
	a, err := c.reader()
	if err != nil {
		return err
	}
	all, err := a.Objects(ctx)
	if err != nil {
		return err
	}
	objects, err := selectLive(all, keys)
	if err != nil {
		return err
	}
	switch c.Output {
	case outputJSON:
		return printJSON(out, objectsOutput(objects))
	case "table":
		return printTable(out, func(w io.Writer) { printObjects(w, objects) })
	default:
		return printYAML(out, objects)
	}
}

// selectLive returns the live objects with the given keys, in the order of the keys, or all live objects if
// there are no keys.
func selectLive(objects []config.Object, keys []config.Key) ([]config.Object, error) {
	live := make(map[config.Key]config.Object)
	var all []config.Object
	for _, o := range objects {
		if !o.Deleted {
			live[o.Key] = o
			all = append(all, o)
		}
	}
	if len(keys) == 0 {
		return all, nil
	}
	var out []config.Object
	for _, k := range keys {
		o, ok := live[k]
		if !ok {
			return nil, errors.NotFoundf("%s", k)
		}
		out = append(out, o)
	}
	return out, nil
}

func printYAML(out io.Writer, objects []config.Object) error {
	for i, o := range objects {
		text, err := config.MarshalYAML(o)
		if err != nil {
			return err
		}
		if i > 0 {
			text = append([]byte("---\n"), text...)
		}
		if _, err := out.Write(text); err != nil {
			return fmt.Errorf("printing %s: %w", o.Key, err)
		}
	}
	return nil
}

func objectsOutput(objects []config.Object) []getObject {
	out := []getObject{}
	for _, o := range objects {
		out = append(out, getObject{Kind: o.Kind, Name: o.Name, Version: o.Version, Spec: o.Spec()})
	}
	return out
}

func printObjects(w io.Writer, objects []config.Object) {
	_, _ = fmt.Fprintln(w, "OBJECT\tVERSION\tCHANGED BY\tREASON")
	for _, o := range objects {
		var last config.Change
		if n := len(o.Changes); n > 0 {
			last = o.Changes[n-1]
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", o.Key, o.Version, last.Who, last.Why)
	}
}
