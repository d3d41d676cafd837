package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
)

type historyCommand struct {
	storeFlags
	outputFlags
	Key string `arg:"" help:"Object such as Service/rota; deleted ones have a history too."`
}

// historyChange is the JSON form of one change.
type historyChange struct {
	Version uint64 `json:"version"`
	config.Change
}

// Help returns an example of the command.
func (historyCommand) Help() string {
	return `Prints up to 20 changes of an object, the newest first: who, when, why, and the difference.

Example:
  endiveflow history --platform http://127.0.0.2:7400 Service/rota`
}

// Run prints the audit entries of an object, the newest first.
func (c historyCommand) Run(ctx context.Context, out io.Writer) error {
	key, err := config.ParseKey(c.Key)
	if err != nil {
		return err
	}
	a, err := c.reader()
	if err != nil {
		return err
	}
	objects, err := a.Objects(ctx)
	if err != nil {
		return err
	}
	for _, o := range objects {
		if o.Key == key {
			changes := changesOf(o)
			return c.print(out, changes, func(w io.Writer) { printChanges(w, changes) })
		}
	}
	return errors.NotFoundf("%s", key)
}

// changesOf returns the audit entries of an object, newest first. The version of each change is the base
// version of the next one.
func changesOf(o config.Object) []historyChange {
	out := []historyChange{}
	version := o.Version
	for _, ch := range slices.Backward(o.Changes) {
		out = append(out, historyChange{Version: version, Change: ch})
		version = ch.BaseVersion
	}
	return out
}

func printChanges(out io.Writer, changes []historyChange) {
	for _, ch := range changes {
		_, _ = fmt.Fprintf(out, "version %d, based on %d, %s by %s: %s\n", ch.Version, ch.BaseVersion, ch.When.UTC().Format(time.RFC3339), ch.Who, ch.Why)
		for _, line := range ch.Diff {
			_, _ = fmt.Fprintf(out, "  %s\n", line)
		}
	}
}
