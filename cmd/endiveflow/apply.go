package main

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/apply"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/platform"
)

type applyCommand struct {
	changeFlags
	Files []string `name:"file" short:"f" required:"" type:"existingfile" help:"File of documents with kind, name and spec; may be repeated."`
}

// Help returns an example of the command.
func (applyCommand) Help() string {
	return `Writes the objects that differ from the configuration in force, services first. Nothing is written when a file has problems.

Example:
  endiveflow apply -f examples/config.yaml --platform http://127.0.0.2:7400 --why "first configuration" --wait --admin http://127.0.0.11:7004`
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
	objects, err := a.Objects(ctx)
	if err != nil {
		return fmt.Errorf("applying: %w", err)
	}
	set, err := config.LoadWith(objects, c.Files...)
	if err != nil {
		return fmt.Errorf("nothing was applied:\n%w", err)
	}
	steps, err := apply.PlanFrom(objects, set)
	if err != nil {
		return fmt.Errorf("nothing was applied: %w", err)
	}
	report, err := a.Run(ctx, steps, c.Why)
	if err == nil {
		err = checkCollision(ctx, a)
	}
	return c.finish(ctx, out, report, err)
}

// checkCollision checks for collisions with objects that another operator wrote at the same time. If the
// writes of two operators collide, the one who wrote last gets the error. The files were valid before the
// writes, so a problem is reported as a conflict.
func checkCollision(ctx context.Context, a *apply.Applier) error {
	err := checkInForce(ctx, a)
	if errors.Is(err, errors.NotValid) {
		return fmt.Errorf("%w: %w", platform.Conflict, err)
	}
	return err
}

// checkInForce returns the problems of the configuration in force as an error of kind errors.NotValid.
func checkInForce(ctx context.Context, a *apply.Applier) error {
	objects, err := a.Objects(ctx)
	if err != nil {
		return fmt.Errorf("checking the configuration in force: %w", err)
	}
	if err := config.CheckObjects(objects); err != nil {
		return fmt.Errorf("the configuration in force has problems:\n%w", err)
	}
	return nil
}
