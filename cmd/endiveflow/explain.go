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

	"endiveflow.example/endiveflow/config"
)

type explainCommand struct {
	adminFlags
	outputFlags
	Service string     `required:"" help:"Name of the service to explain; an agent answers for its own service and host."`
	Host    netip.Addr `help:"IP address of a host, whose own exceptions are then taken into account."`
}

// explanation is the answer of an entry. An agent answers with the policy alone.
type explanation struct {
	Service string               `json:"service"`
	Agents  []agentExplanation   `json:"agents"`
	Policy  []config.Explanation `json:"policy"`
}

type agentExplanation struct {
	Address  netip.AddrPort `json:"address"`
	Zone     string         `json:"zone"`
	State    string         `json:"state"`
	Weight   uint8          `json:"weight"`
	NewFlows bool           `json:"newFlows"`
	Reason   string         `json:"reason"`
}

// Help returns an example of the command.
func (explainCommand) Help() string {
	return `Says which agents of a service get new flows and why, and where the value of each setting comes from.

Example:
  endiveflow explain --admin http://127.0.0.11:7004 --service rota --host 127.0.0.21`
}

// Run prints the explanation of a process.
func (c explainCommand) Run(ctx context.Context, out io.Writer) error {
	query := url.Values{"service": {c.Service}}
	if c.Host.IsValid() {
		query.Set("host", c.Host.String())
	}
	body, err := c.get(ctx, "/explain", query)
	if err != nil {
		return err
	}
	var e explanation
	var into any = &e
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("[")) {
		into = &e.Policy
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	slices.SortFunc(e.Agents, func(a, b agentExplanation) int { return a.Address.Compare(b.Address) })
	return c.print(out, json.RawMessage(body), func(w io.Writer) { printExplanation(w, e) })
}

func printExplanation(w io.Writer, e explanation) {
	if e.Service == "" {
		_, _ = fmt.Fprintln(w, "settings at this agent, for its own service and host")
	} else {
		printAgents(w, e)
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

func printAgents(w io.Writer, e explanation) {
	_, _ = fmt.Fprintf(w, "service %s\n", e.Service)
	_, _ = fmt.Fprintf(w, "\nAGENT\tZONE\tSTATE\tWEIGHT\tNEW FLOWS\tREASON\n")
	for _, a := range e.Agents {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d%%\t%t\t%s\n", a.Address, a.Zone, a.State, a.Weight, a.NewFlows, a.Reason)
	}
}
