package main

import (
	"context"
	"fmt"
	"io"

	"endiveflow.example/endiveflow/config"
)

type checkCommand struct {
	Platform string   `env:"ENDIVEFLOW_PLATFORM" placeholder:"URL" help:"Base URL of the object API, to check together with what is in force."`
	Offline  bool     `help:"Check the files alone."`
	Files    []string `arg:"" optional:"" help:"Files of documents with kind, name and spec; without any, what is in force is checked."`
}

// Run reports all problems of the files, or of what is in force.
func (c checkCommand) Run(ctx context.Context, out io.Writer) error {
	var known []config.Object
	if c.Platform != "" && !c.Offline {
		a, err := storeFlags{Platform: c.Platform}.reader()
		if err != nil {
			return err
		}
		if len(c.Files) == 0 {
			return checkInForce(ctx, a)
		}
		if known, err = a.Objects(ctx); err != nil {
			return fmt.Errorf("checking, see --offline: %w", err)
		}
	}
	set, err := config.LoadWith(known, c.Files...)
	if err != nil {
		return fmt.Errorf("not valid:\n%w", err)
	}
	_, err = fmt.Fprintf(out, "%d objects are valid\n", len(set.Objects()))
	return err
}
