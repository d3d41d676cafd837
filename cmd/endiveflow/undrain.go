package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/juju/errors"
)

type undrainCommand struct {
	changeFlags
	Host netip.Addr `arg:"" help:"IP address of the host."`
}

// Help returns an example of the command.
func (undrainCommand) Help() string {
	return `Deletes the exceptions that drain a host.

Example:
  endiveflow undrain --platform http://127.0.0.2:7400 --why "disk swapped" --wait --admin http://127.0.0.11:7004 127.0.0.21`
}

// Run deletes the exceptions that drain a host.
func (c undrainCommand) Run(ctx context.Context, out io.Writer) error {
	if err := c.check(); err != nil {
		return err
	}
	a, err := c.writer()
	if err != nil {
		return err
	}
	objects, err := a.Objects(ctx)
	if err != nil {
		return fmt.Errorf("undraining %s: %w", c.Host, err)
	}
	keys := drainExceptions(objects, c.Host)
	if len(keys) == 0 {
		return errors.NotFoundf("drain of host %s", c.Host)
	}
	report, err := a.Delete(ctx, c.Why, keys...)
	return c.finish(ctx, out, report, err)
}
