package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/apply"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/status"
)

// waitFlags let a command wait until its writes are in force everywhere.
type waitFlags struct {
	Wait    bool          `help:"Wait until the change is in force at every live node of the entry's region."`
	Admin   string        `env:"ENDIVEFLOW_ADMIN" placeholder:"URL" help:"Base URL of the admin endpoint of any entry, for --wait."`
	WaitFor time.Duration `default:"30s" help:"Longest time to wait."`
}

// waitEvery spaces the questions of one operator: each asks every entry of the region.
const waitEvery = 500 * time.Millisecond

// errNoAdmin is an error of the command line.
const errNoAdmin = errors.ConstError("--wait needs --admin")

// check reports a command line that cannot wait, before anything is written.
func (f waitFlags) check() error {
	if f.Wait && f.Admin == "" {
		return errNoAdmin
	}
	return nil
}

// await waits until the written versions are in force, telling the progress.
func (f waitFlags) await(ctx context.Context, out io.Writer, report apply.Report) error {
	version := highest(report)
	if !f.Wait || version == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.WaitFor)
	defer cancel()
	begin := time.Now()
	last := ""
	for {
		progress, done := f.progress(ctx, version)
		if done {
			_, err := fmt.Fprintf(out, "version %d is in force everywhere after %s\n", version, time.Since(begin).Round(time.Millisecond))
			return wrapPrinting(err)
		}
		if progress != last {
			last = progress
			if _, err := fmt.Fprintln(out, progress); err != nil {
				return wrapPrinting(err)
			}
		}
		if err := node.Sleep(ctx, waitEvery); err != nil {
			return fmt.Errorf("version %d is not in force everywhere after %s: %s: %w", version, f.WaitFor, last, err)
		}
	}
}

// progress asks the entry once.
func (f waitFlags) progress(ctx context.Context, version uint64) (text string, done bool) {
	report, err := fetchStatus(ctx, f.Admin)
	if err != nil {
		return fmt.Sprintf("waiting for the entry: %v", err), false
	}
	if report.Version < version {
		return fmt.Sprintf("the entry has version %d, waiting for %d", report.Version, version), false
	}
	current, nodes := countNodes(report)
	return fmt.Sprintf("%d of %d nodes have version %d", current, nodes, report.Version), current == nodes && nodes > 0
}

func countNodes(report status.Report) (current, nodes int) {
	for _, z := range report.Zones {
		current += z.Current
		nodes += z.Nodes
	}
	return current, nodes
}

func highest(report apply.Report) uint64 {
	var version uint64
	for _, r := range report.Results {
		version = max(version, r.Version)
	}
	return version
}

func wrapPrinting(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("printing progress: %w", err)
}
