package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/flowtrace"
)

type traceCommand struct {
	Flow string `arg:"" help:"ID of the flow: CALLER:PORT>ADDRESS:PORT."`
	Log  string `help:"File with log lines of any number of processes; - reads standard input." default:"-"`
}

// Help returns an example of the command.
func (traceCommand) Help() string {
	return `Joins the log lines of several processes about one flow of the packet path into one
history, in causal order.

Example:
  endiveflow trace --log fleet.log '100.64.0.7:40001>198.18.0.1:443'`
}

// Run prints the history of a flow.
func (c traceCommand) Run(_ context.Context, out io.Writer) error {
	in := os.Stdin
	if c.Log != "-" {
		f, err := os.Open(c.Log)
		if err != nil {
			return fmt.Errorf("opening the log: %w", err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	lines, err := flowtrace.Read(in, c.Flow)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return errors.NotFoundf("line about flow %s", c.Flow)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if err := flowtrace.Write(table, flowtrace.Order(lines)); err != nil {
		return err
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("writing the history: %w", err)
	}
	return nil
}
