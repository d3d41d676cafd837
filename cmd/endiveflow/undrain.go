package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/juju/errors"
)

type undrainCommand struct {
	writeFlags
	Host netip.Addr `arg:"" help:"IP address of the host."`
}

// Run deletes the exceptions that drain a host.
func (c undrainCommand) Run(ctx context.Context, out io.Writer) error {
	a, err := c.writer()
	if err != nil {
		return err
	}
	objects, err := a.Objects(ctx)
	if err != nil {
		return fmt.Errorf("ending the drain of %s: %w", c.Host, err)
	}
	keys := drains(objects, c.Host)
	if len(keys) == 0 {
		return errors.NotFoundf("drain of host %s", c.Host)
	}
	report, err := a.Delete(ctx, c.Why, keys...)
	return printReport(out, report, err)
}
