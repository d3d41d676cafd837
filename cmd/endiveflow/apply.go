package main

import (
	"context"
	"fmt"
	"io"

	"endiveflow.example/endiveflow/apply"
	"endiveflow.example/endiveflow/config"
)

type applyCommand struct {
	writeFlags
	waitFlags
	Files []string `name:"file" short:"f" required:"" type:"existingfile" help:"File of documents with kind, name and spec; may be repeated."`
}

// Run writes the objects of the files that differ from those in force.
func (c applyCommand) Run(ctx context.Context, out io.Writer) error {
	if err := c.check(); err != nil {
		return err
	}
	a, err := c.writer()
	if err != nil {
		return err
	}
	known, err := a.Objects(ctx)
	if err != nil {
		return fmt.Errorf("applying: %w", err)
	}
	set, err := config.LoadWith(known, c.Files...)
	if err != nil {
		return fmt.Errorf("nothing was applied:\n%w", err)
	}
	steps, err := apply.PlanFrom(known, set)
	if err != nil {
		return fmt.Errorf("nothing was applied: %w", err)
	}
	report, err := a.Run(ctx, steps, c.Why)
	if err := printReport(out, report, err); err != nil {
		return err
	}
	if err := checkInForce(ctx, a); err != nil {
		return err
	}
	return c.await(ctx, out, report)
}

// checkInForce finds collisions with objects that another operator wrote
// meanwhile. Of two operators whose writes collide, the one who wrote last finds it.
func checkInForce(ctx context.Context, a *apply.Applier) error {
	objects, err := a.Objects(ctx)
	if err != nil {
		return fmt.Errorf("checking what is in force: %w", err)
	}
	if err := config.CheckObjects(objects); err != nil {
		return fmt.Errorf("what is in force has problems:\n%w", err)
	}
	return nil
}
