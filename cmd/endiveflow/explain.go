package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"slices"

	"endiveflow.example/endiveflow/status"
)

type explainCommand struct {
	adminFlags
	outputFlags
	Service string     `required:"" help:"Name of the service to explain; an agent answers for its own service and host."`
	Host    netip.Addr `help:"IP address of a host, whose own exceptions are then taken into account."`
	Flow    string     `placeholder:"HEX" help:"Connection ID of a packet in hexadecimal digits, as a capture shows it: says which agent it goes to."`
}

// Help returns an example of the command.
func (explainCommand) Help() string {
	return `Prints which agents of a service get new flows and why, and where the value of each setting comes from.

Example:
  endiveflow explain --admin http://127.0.0.11:7004 --service rota --host 127.0.0.21`
}

// Run prints the explanation given by a process.
func (c explainCommand) Run(ctx context.Context, out io.Writer) error {
	query := url.Values{"service": {c.Service}}
	if c.Host.IsValid() {
		query.Set("host", c.Host.String())
	}
	if c.Flow != "" {
		query.Set("flow", c.Flow)
	}
	body, err := c.get(ctx, "/explain", query)
	if err != nil {
		return err
	}
	// An agent returns only the policy.
	var e status.Explanation
	var into any = &e
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("[")) {
		into = &e.Policy
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	slices.SortFunc(e.Agents, func(a, b status.AgentExplanation) int { return a.Address.Compare(b.Address) })
	return c.print(out, json.RawMessage(body), func(w io.Writer) { printExplanation(w, e) })
}

func printExplanation(w io.Writer, e status.Explanation) {
	if e.Service == "" {
		_, _ = fmt.Fprintln(w, "settings at this agent, for its own service and host")
	} else {
		printAgents(w, e)
	}
	if e.Flow != nil {
		_, _ = fmt.Fprintf(w, "\nFLOW\tAGENT\tREASON\n%s\t%s\t%s\n", e.Flow.ConnectionID, e.Flow.Agent, e.Flow.Reason)
	}
	_, _ = fmt.Fprintf(w, "\nSETTING\tVALUE\tSOURCE\tVERSION\tREASON\n")
	for _, p := range e.Policy {
		version := "-"
		if p.Version > 0 {
			version = fmt.Sprint(p.Version)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", p.Setting, p.Value, p.Source, version, p.Reason)
	}
}

func printAgents(w io.Writer, e status.Explanation) {
	_, _ = fmt.Fprintf(w, "service %s\n", e.Service)
	_, _ = fmt.Fprintf(w, "\nAGENT\tZONE\tSTATE\tWEIGHT\tNEW FLOWS\tREASON\n")
	for _, a := range e.Agents {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d%%\t%t\t%s\n", a.Address, a.Zone, a.State, a.Weight, a.NewFlows, a.Reason)
	}
}
