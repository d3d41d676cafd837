package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/demo"
)

type demoCommand struct {
	outputFlags
	JSON    bool `name:"json" help:"Short for --output json."`
	Verbose bool `help:"Print the processes' log lines and, at the end, their metrics."`
}

// Help returns the examples of the command.
func (demoCommand) Help() string {
	return `Examples:
  endiveflow demo
  endiveflow demo --json`
}

// errDemoFailed means that the demo ran and a check failed.
const errDemoFailed = errors.ConstError("demo checks failed, see the report")

// Run runs the demo and returns an error if a check failed.
func (c demoCommand) Run(ctx context.Context, out io.Writer) error {
	log := slog.New(slog.DiscardHandler)
	if c.Verbose {
		log = slog.Default()
	}
	report, err := demo.Run(ctx, demo.Config{Log: log, Progress: c.progress})
	if err != nil {
		return fmt.Errorf("running demo: %w", err)
	}
	if c.Verbose {
		metrics.WritePrometheus(os.Stderr, false)
	}
	if err := c.print(out, report); err != nil {
		return err
	}
	if !report.Passed() {
		return errDemoFailed
	}
	return nil
}

func (c demoCommand) asJSON() bool { return c.JSON || c.Output == outputJSON }

func (c demoCommand) progress(what string) {
	if !c.asJSON() {
		fmt.Fprintln(os.Stderr, what)
	}
}

func (c demoCommand) print(out io.Writer, r demo.Report) error {
	if !c.asJSON() {
		return r.WriteTable(out)
	}
	if err := json.NewEncoder(out).Encode(r); err != nil {
		return fmt.Errorf("printing report: %w", err)
	}
	return nil
}
