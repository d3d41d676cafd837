package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/status"
)

// maxStatusBytes bounds the answer of an entry.
const maxStatusBytes = 64 << 20

type statusCommand struct {
	Admin   string        `required:"" env:"ENDIVEFLOW_ADMIN" placeholder:"URL" help:"Base URL of the admin endpoint of any entry."`
	Timeout time.Duration `default:"5s" help:"Longest wait for the answer."`
	JSON    bool          `name:"json" help:"Print the answer as JSON."`
}

// Run prints the report of an entry.
func (c statusCommand) Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	report, err := fetchStatus(ctx, c.Admin)
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return printStatus(out, report)
}

func fetchStatus(ctx context.Context, admin string) (status.Report, error) {
	target, err := url.JoinPath(admin, status.Path)
	if err != nil {
		return status.Report{}, fmt.Errorf("building the URL of the entry: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return status.Report{}, fmt.Errorf("building the request: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return status.Report{}, fmt.Errorf("asking the entry: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return status.Report{}, errors.Errorf("entry answered %s", res.Status)
	}
	var report status.Report
	if err := json.NewDecoder(io.LimitReader(res.Body, maxStatusBytes)).Decode(&report); err != nil {
		return status.Report{}, fmt.Errorf("reading the entry's answer: %w", err)
	}
	return report, nil
}

func printStatus(out io.Writer, report status.Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "configuration version %d\n", report.Version)
	_, _ = fmt.Fprintf(w, "\nZONE\tNODES\tCURRENT\tVERSION IN EFFECT\n")
	for _, z := range report.Zones {
		effect := fmt.Sprint(z.Version)
		if z.Version == 0 {
			effect = "-"
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", z.Zone, z.Nodes, z.Current, effect)
	}
	_, _ = fmt.Fprintf(w, "\nBEHIND\tZONE\tADDRESS\tSTATE\tREASON\n")
	for _, z := range report.Zones {
		for _, b := range z.Behind {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", strings.TrimSpace(b.Role+" "+b.Service), z.Zone, b.Address, b.State, b.Reason)
		}
	}
	_, _ = fmt.Fprintf(w, "\nUPSTREAM\tADDRESS\tZONE\tSTATE\tSLOTS\tWEIGHT\tNOTE\n")
	for _, u := range report.Upstreams {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d%%\t%s\n", u.Service, u.Address, u.Zone, u.State, u.Slots, u.Weight, u.Note)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("printing the status: %w", err)
	}
	return nil
}
