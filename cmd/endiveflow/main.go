// Command endiveflow runs and operates the endiveflow load balancer.
package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli lists the commands, each in a file of its own.
type cli struct {
	Demo  demoCommand  `cmd:"" help:"Run a small fleet in one process and report what callers saw."`
	Entry entryCommand `cmd:"" help:"Run an entry: the process behind the fabric."`
	Agent agentCommand `cmd:"" help:"Run an agent: the process beside an upstream."`

	Apply   applyCommand   `cmd:"" help:"Bring configuration files into force."`
	Audit   auditCommand   `cmd:"" help:"Print what a process did by itself."`
	Check   checkCommand   `cmd:"" help:"Check configuration and settings files."`
	Delete  deleteCommand  `cmd:"" help:"Delete objects of the configuration."`
	Diff    diffCommand    `cmd:"" help:"Show what apply would change."`
	Drain   drainCommand   `cmd:"" help:"Keep new work away from a host."`
	Explain explainCommand `cmd:"" help:"Print which agents get new flows and why, and where settings come from."`
	Get     getCommand     `cmd:"" help:"Print objects of the configuration."`
	History historyCommand `cmd:"" help:"Print the newest changes of an object."`
	Soak    soakCommand    `cmd:"" help:"Run the packet path as processes under random faults and check what callers see."`
	Status  statusCommand  `cmd:"" help:"Print what is in effect in each availability zone."`
	Trace   traceCommand   `cmd:"" help:"Join log lines about one flow to its history."`
	Undrain undrainCommand `cmd:"" help:"End the drain of a host."`

	Standin standinCommand `cmd:"" help:"Run stand-ins for what surrounds the system."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs one command line and returns its exit code.
func run(args []string) int {
	slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	parser := newParser(
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)),
	)
	k, err := parser.Parse(args)
	if err == nil {
		err = k.Run()
	}
	if err != nil {
		parser.Errorf("%s", err)
	}
	return exitCode(err)
}

func newParser(options ...kong.Option) *kong.Kong {
	options = append(options, kong.Name("endiveflow"), kong.Description(exitHelp))
	return kong.Must(new(cli), options...)
}
