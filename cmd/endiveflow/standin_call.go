package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/caller"
)

type standinCallCommand struct {
	outputFlags
	Address string        `required:"" help:"UDP address of the service."`
	Name    string        `required:"" help:"Name of the service in its certificate."`
	CA      string        `name:"ca" required:"" type:"existingfile" help:"File of the certificate to trust."`
	Method  string        `default:"GET" help:"Method of the requests."`
	Path    string        `default:"/" help:"Path of the requests."`
	Count   int           `default:"1" help:"Number of requests, sent one after the other over one flow."`
	Timeout time.Duration `default:"10s" help:"Time allowed for each request."`
}

// callOutput is the JSON form of one answer.
type callOutput struct {
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Body    string `json:"body"`
}

// Help returns an example of the command.
func (standinCallCommand) Help() string {
	return `Example:
  endiveflow standin call --address 127.0.0.3:8441 --name rota --ca examples/service.crt --method POST --path /claims`
}

// Run sends the requests and prints each answer.
func (c standinCallCommand) Run(ctx context.Context, out io.Writer) error {
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return errors.NewNotValid(err, "reading --address")
	}
	trust, err := c.trust()
	if err != nil {
		return err
	}
	client, err := caller.New(caller.Config{Address: address, TLS: trust})
	if err != nil {
		return fmt.Errorf("creating caller: %w", err)
	}
	defer client.Close()
	for range c.Count {
		if err := c.call(ctx, out, client); err != nil {
			return err
		}
	}
	return nil
}

func (c standinCallCommand) trust() (*tls.Config, error) {
	pem, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, fmt.Errorf("reading certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.NotValidf("certificate in %s", c.CA)
	}
	return &tls.Config{RootCAs: pool, ServerName: c.Name, MinVersion: tls.VersionTLS13}, nil
}

func (c standinCallCommand) call(ctx context.Context, out io.Writer, client *caller.Client) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	answer, err := client.Do(ctx, caller.Request{Method: c.Method, Path: c.Path})
	if err != nil {
		return fmt.Errorf("calling %s %s: %w", c.Method, c.Path, err)
	}
	if c.Output == outputJSON {
		return printJSON(out, callOutput{Status: answer.Status, Outcome: answer.Outcome, Body: string(answer.Body)})
	}
	if _, err := fmt.Fprintf(out, "%d %s %s\n", answer.Status, answer.Outcome, answer.Body); err != nil {
		return fmt.Errorf("printing answer: %w", err)
	}
	return nil
}
