package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"endiveflow.example/endiveflow/soak"
)

type soakCommand struct {
	Program        string        `help:"Path of endiveflow-node." default:"target/endiveflow-node"`
	Former         string        `help:"Path of an earlier build, which the processes run until they are restarted, as in an upgrade."`
	Seed           uint64        `help:"First seed; 0 takes one from the clock."`
	Runs           int           `help:"Number of runs, with one seed after the other." default:"1"`
	Time           time.Duration `help:"How long faults are injected." default:"30s"`
	Entries        int           `help:"Number of entries." default:"3"`
	Hosts          int           `help:"Number of hosts with their agents." default:"5"`
	Flows          int           `help:"New flows a second." default:"60"`
	NoSeries       bool          `help:"Leave out rolling restarts, series of reloads, and hosts that join and leave."`
	NoEvacuations  bool          `help:"Leave out evacuations of zones."`
	NoMassFailures bool          `help:"Leave out failures of all processes, or of all hosts and processes, at once."`
	NoMoves        bool          `help:"Leave out a route that is led from one service to another and back."`
	Keep           string        `help:"Directory that keeps the settings and logs of failed runs." type:"path"`
}

// Help returns an example of the command.
func (soakCommand) Help() string {
	return `Starts the processes on loopback addresses, injects faults determined by the seed, and
prints a timeline of the faults and of the callers' results. It fails if a check fails.

Example:
  endiveflow soak --program target/endiveflow-node --runs 5 --time 10s`
}

// errSoakFailed means that a check failed in a run.
var errSoakFailed = errors.New("soak checks failed")

// Run runs the soak tests and prints a timeline of each.
func (c soakCommand) Run(ctx context.Context, out io.Writer) error {
	seed := c.Seed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	failed := 0
	for n := range c.Runs {
		ok, err := c.runOnce(ctx, out, seed+uint64(n))
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs: %w", failed, c.Runs, errSoakFailed)
	}
	return nil
}

func (c soakCommand) runOnce(ctx context.Context, out io.Writer, seed uint64) (bool, error) {
	dir, err := os.MkdirTemp(c.Keep, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, fmt.Errorf("creating a directory: %w", err)
	}
	report, err := soak.Run(ctx, soak.Config{
		Program: c.Program, FormerProgram: c.Former, Dir: dir, Seed: seed, FaultTime: c.Time, Entries: c.Entries, Hosts: c.Hosts, FlowsPerSecond: c.Flows, Restores: true, Series: !c.NoSeries,
		Evacuations: !c.NoEvacuations, MassFailures: !c.NoMassFailures, Moves: !c.NoMoves,
	})
	if err != nil {
		return false, fmt.Errorf("running the soak: %w", err)
	}
	if err := report.WriteTimeline(out); err != nil {
		return false, err
	}
	ok := len(report.Failures) == 0
	if ok || c.Keep == "" {
		if err := os.RemoveAll(dir); err != nil {
			return false, fmt.Errorf("removing %s: %w", dir, err)
		}
	}
	return ok, nil
}
