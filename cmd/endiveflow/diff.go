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
	Files []string `name:"file" short:"f" required:"" type:"existingfile" help:"File of documents with kind, name and spec; may be repeated."`
}

// Run prints the writes that apply would make.
func (c diffCommand) Run(ctx context.Context, out io.Writer) error {
	a, err := c.reader()
	if err != nil {
		return err
	}
	known, err := a.Objects(ctx)
	if err != nil {
		return fmt.Errorf("comparing: %w", err)
	}
	set, err := config.LoadWith(known, c.Files...)
	if err != nil {
		return fmt.Errorf("not valid:\n%w", err)
	}
	steps, err := apply.PlanFrom(known, set)
	if err != nil {
		return fmt.Errorf("comparing: %w", err)
	}
	for _, s := range steps {
		_, _ = fmt.Fprintf(out, "%s: %s\n", s.Key, s.Action)
		for _, line := range s.Diff {
			_, _ = fmt.Fprintf(out, "  %s\n", line)
		}
	}
	return nil
}
