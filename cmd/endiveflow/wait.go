package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/apply"
	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/status"
)

// waitFlags are the flags of commands that can wait until their writes are in force everywhere.
type waitFlags struct {
	Wait    bool          `help:"Wait until the change is in force at every live node of the entry's region."`
	Admin   string        `env:"ENDIVEFLOW_ADMIN" placeholder:"URL" help:"Base URL of the admin endpoint of any entry, for --wait."`
	WaitFor time.Duration `default:"30s" help:"Longest time to wait."`
}

// statusPollInterval is the time between two status requests of a waiting command. Each one makes the entry
// query every entry of the region.
const statusPollInterval = 500 * time.Millisecond

// waitOutput is the JSON form of the result of --wait.
type waitOutput struct {
	// Version is the highest version that was written.
	Version uint64 `json:"version"`
	// InForce reports whether every live node had the version when the wait ended.
	InForce bool `json:"inForce"`
	// Progress is the last progress message.
	Progress string  `json:"progress"`
	Seconds  float64 `json:"seconds"`
}

// check validates the flags, so that invalid ones are reported before anything is written.
func (f waitFlags) check() error {
	if !f.Wait {
		return nil
	}
	if f.Admin == "" {
		return errors.NewNotValid(nil, "--wait needs --admin")
	}
	_, err := parseAdmin(f.Admin)
	return err
}

// errStoreLostVersions means that entries have versions which the store does not have.
const errStoreLostVersions = errors.ConstError("the store has lost versions that are in force; nodes accept only higher versions")

// awaitInForce waits until the written versions are in force, and prints the progress to out. The result is
// nil if there is nothing to wait for.
func (f changeFlags) awaitInForce(ctx context.Context, out io.Writer, report apply.Report) (*waitOutput, error) {
	version := highestVersion(report)
	if !f.Wait || version == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.WaitFor)
	defer cancel()
	begin := time.Now()
	w := &waitOutput{Version: version}
	for {
		progress, done, err := f.progress(ctx, version)
		w.InForce, w.Seconds = done, time.Since(begin).Seconds()
		if err != nil {
			return w, fmt.Errorf("waiting for version %d: %w", version, err)
		}
		if done {
			w.Progress = progress
			_, err := fmt.Fprintf(out, "version %d is in force everywhere after %s\n", version, time.Since(begin).Round(time.Millisecond))
			return w, wrapPrinting(err)
		}
		if progress != w.Progress {
			w.Progress = progress
			if _, err := fmt.Fprintln(out, progress); err != nil {
				return w, wrapPrinting(err)
			}
		}
		if err := node.Sleep(ctx, statusPollInterval); err != nil {
			return w, fmt.Errorf("version %d is not in force everywhere after %s: %s: %w", version, f.WaitFor, w.Progress, err)
		}
	}
}

// progress requests the status of the entry once. An error means that waiting longer would not help.
func (f changeFlags) progress(ctx context.Context, version uint64) (text string, done bool, err error) {
	report, err := fetchStatus(ctx, f.Admin)
	if err != nil {
		return fmt.Sprintf("waiting for the entry: %v", err), false, nil
	}
	if report.Version < version {
		return fmt.Sprintf("the entry has version %d, waiting for %d", report.Version, version), false, nil
	}
	current, nodes := countNodes(report)
	text = fmt.Sprintf("%d of %d nodes have version %d", current, nodes, report.Version)
	if current < nodes || nodes == 0 {
		return text, false, nil
	}
	matches, err := f.matchesStore(ctx, report)
	if err == nil && !matches {
		text = fmt.Sprintf("the entry's version %d is not that of the store", report.Version)
	}
	return text, matches, err
}

// matchesStore reports whether the configuration of the entry is that of the store. Comparing version
// numbers is not enough: a store that was restored from an older state assigns the same numbers again, and
// nodes ignore those versions. If the store has a higher version, an operator wrote after the entry
// answered, and only the numbers are compared.
func (f changeFlags) matchesStore(ctx context.Context, report status.Report) (bool, error) {
	a, err := f.reader()
	if err != nil {
		return false, err
	}
	objects, err := a.Objects(ctx)
	if err != nil {
		return false, fmt.Errorf("comparing with the store: %w", err)
	}
	view := config.NewView()
	for _, o := range objects {
		view.Apply(o)
	}
	stored := status.Build(view, nil)
	if stored.Version < report.Version {
		return false, fmt.Errorf("%w: the entry has version %d, the store %d", errStoreLostVersions, report.Version, stored.Version)
	}
	return stored.Version > report.Version || stored.Digest == report.Digest, nil
}

func countNodes(report status.Report) (current, nodes int) {
	for _, z := range report.Zones {
		current += z.Current
		nodes += z.Nodes
	}
	return current, nodes
}

func highestVersion(report apply.Report) uint64 {
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
