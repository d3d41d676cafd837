package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/status"
)

type statusCommand struct {
	adminFlags
	outputFlags
}

// Help returns an example of the command.
func (statusCommand) Help() string {
	return `Prints the status of a region as seen by an entry: the version in effect in each availability zone, the nodes that are behind and why, and the upstreams. Agents have no status.

Example:
  endiveflow status --admin http://127.0.0.11:7004`
}

// Run prints the status report of an entry.
func (c statusCommand) Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	report, err := fetchStatus(ctx, c.Admin)
	if err != nil {
		return err
	}
	return c.print(out, report, func(w io.Writer) { printStatus(w, report) })
}

func fetchStatus(ctx context.Context, admin string) (status.Report, error) {
	body, err := getAdmin(ctx, admin, status.Path, nil)
	if errors.Is(err, errors.NotFound) {
		return status.Report{}, fmt.Errorf("%w; only entries have a status", err)
	}
	if err != nil {
		return status.Report{}, err
	}
	var report status.Report
	if err := json.Unmarshal(body, &report); err != nil {
		return status.Report{}, fmt.Errorf("reading the entry's answer: %w", err)
	}
	return report, nil
}

func printStatus(w io.Writer, report status.Report) {
	_, _ = fmt.Fprintf(w, "configuration version %d\n", report.Version)
	_, _ = fmt.Fprintf(w, "\nZONE\tNODES\tCURRENT\tVERSION IN EFFECT\n")
	for _, z := range report.Zones {
		effect := fmt.Sprint(z.Version)
		if z.Version == 0 {
			effect = "-"
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", z.Zone, z.Nodes, z.Current, effect)
	}
	title := "\nBEHIND\tZONE\tADDRESS\tSTATE\tREASON\n"
	for _, z := range report.Zones {
		if len(z.Behind) > 0 {
			_, _ = fmt.Fprint(w, title)
			title = ""
		}
		for _, b := range z.Behind {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", strings.TrimSpace(b.Role+" "+b.Service), z.Zone, b.Address, b.State, b.Reason)
		}
	}
	_, _ = fmt.Fprintf(w, "\nUPSTREAM\tADDRESS\tZONE\tSTATE\tSLOTS\tWEIGHT\tNOTE\n")
	for _, u := range report.Upstreams {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d%%\t%s\n", u.Service, u.Address, u.Zone, u.State, u.Slots, u.Weight, u.Note)
	}
}
