package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/audit"
)

type auditCommand struct {
	adminFlags
	outputFlags
	Limit int `default:"0" help:"Number of the newest actions to print; 0 prints all that the process keeps."`
}

// Help returns an example of the command.
func (auditCommand) Help() string {
	return `Prints the automatic actions of one process, oldest first, each with its reason. Changes by operators are printed by "endiveflow history".

Example:
  endiveflow audit --admin http://127.0.0.11:7004 --limit 20`
}

// Run prints the newest automatic actions of a process.
func (c auditCommand) Run(ctx context.Context, out io.Writer) error {
	if c.Limit < 0 {
		return errors.NewNotValid(nil, fmt.Sprintf("--limit %d is not valid, expected 0 or more", c.Limit))
	}
	body, err := c.get(ctx, "/audit", nil)
	if err != nil {
		return err
	}
	events := []audit.Event{}
	if err := json.Unmarshal(body, &events); err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	if c.Limit > 0 {
		events = events[max(0, len(events)-c.Limit):]
	}
	return c.print(out, events, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "TIME\tACTION\tTARGET\tREASON")
		for _, e := range events {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Time.UTC().Format(time.RFC3339), e.Action, e.Target, e.Reason)
		}
	})
}
