package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
)

type historyCommand struct {
	storeFlags
	Key string `arg:"" help:"Object such as Service/rota; deleted ones have a history too."`
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
			printChanges(out, o)
			return nil
		}
	}
	return errors.NotFoundf("%s", key)
}

func printChanges(out io.Writer, o config.Object) {
	version := o.Version
	for i := len(o.Changes) - 1; i >= 0; i-- {
		ch := o.Changes[i]
		_, _ = fmt.Fprintf(out, "version %d, based on %d, %s by %s: %s\n", version, ch.BaseVersion, ch.When.UTC().Format(time.RFC3339), ch.Who, ch.Why)
		for _, line := range ch.Diff {
			_, _ = fmt.Fprintf(out, "  %s\n", line)
		}
		version = ch.BaseVersion
	}
}
