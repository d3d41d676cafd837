package main

import (
	"context"
	"fmt"
	"io"

	"endiveflow.example/endiveflow/apply"
	"endiveflow.example/endiveflow/config"
)

type diffCommand struct {
	storeFlags
	outputFlags
	Files []string `name:"file" short:"f" required:"" type:"existingfile" help:"File of documents with kind, name and spec; may be repeated."`
}

// diffStep is the JSON form of one write.
type diffStep struct {
	Object string       `json:"object"`
	Action apply.Action `json:"action"`
	Base   uint64       `json:"baseVersion"`
	Diff   []string     `json:"diff,omitempty"`
}

// Help returns an example of the command.
func (diffCommand) Help() string {
	return `Prints the writes that "endiveflow apply" would make now, and changes nothing.

Example:
  endiveflow diff --platform http://127.0.0.2:7400 -f examples/config.yaml`
}

// Run prints the writes that apply would make.
func (c diffCommand) Run(ctx context.Context, out io.Writer) error {
	a, err := c.reader()
	if err != nil {
		return err
	}
	objects, err := a.Objects(ctx)
	if err != nil {
		return fmt.Errorf("comparing: %w", err)
	}
	set, err := config.LoadWith(objects, c.Files...)
	if err != nil {
		return fmt.Errorf("not valid:\n%w", err)
	}
	steps, err := apply.PlanFrom(objects, set)
	if err != nil {
		return fmt.Errorf("comparing: %w", err)
	}
	list := []diffStep{}
	for _, s := range steps {
		list = append(list, diffStep{Object: s.Key.String(), Action: s.Action, Base: s.Base, Diff: s.Diff})
	}
	return c.print(out, list, func(w io.Writer) {
		for _, s := range list {
			_, _ = fmt.Fprintf(w, "%s: %s\n", s.Object, s.Action)
			for _, line := range s.Diff {
				_, _ = fmt.Fprintf(w, "  %s\n", line)
			}
		}
	})
}
