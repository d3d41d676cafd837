package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"
)

type explainCommand struct {
	Admin   string        `required:"" env:"ENDIVEFLOW_ADMIN" placeholder:"URL" help:"Base URL of the admin endpoint of an entry or agent."`
	Service string        `required:"" help:"Name of the service to explain."`
	Host    string        `help:"IP of a host, whose own exceptions are then taken into account."`
	Timeout time.Duration `default:"5s" help:"Longest wait for the answer."`
}

// Help returns an example of the command.
func (explainCommand) Help() string {
	return `Says which agents of a service get new flows and why, and where the value of each setting comes from.

Example:
  endiveflow explain --admin http://127.0.0.11:7004 --service rota --host 127.0.0.21`
}

// Run prints the explanation as JSON.
func (c explainCommand) Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	target, err := url.JoinPath(c.Admin, "/explain")
	if err != nil {
		return fmt.Errorf("building the URL: %w", err)
	}
	query := url.Values{"service": {c.Service}, "host": {c.Host}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return fmt.Errorf("building the request: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("asking the process: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxStatusBytes))
	if err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("process answered %s: %s", res.Status, body)
	}
	return printJSON(out, body)
}

// printJSON prints a JSON text with indentation.
func printJSON(out io.Writer, body []byte) error {
	var value any
	if err := json.Unmarshal(body, &value); err != nil {
		return fmt.Errorf("reading JSON: %w", err)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("printing JSON: %w", err)
	}
	return nil
}
