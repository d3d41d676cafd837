// Command endiveflow runs and operates the endiveflow load balancer.
package main

import (
	"log/slog"
	"os"

	"github.com/alecthomas/kong"
)

// cli lists the commands, each in a file of its own.
type cli struct {
	Demo    demoCommand    `cmd:"" help:"Run a small fleet in one process and report what callers saw."`
	Entry   entryCommand   `cmd:"" help:"Run an entry: the process behind the fabric."`
	Agent   agentCommand   `cmd:"" help:"Run an agent: the process beside an upstream."`
	Standin standinCommand `cmd:"" help:"Run stand-ins for what surrounds the system."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

func main() {
	slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	var c cli
	k := kong.Parse(&c, kong.Name("endiveflow"), kong.Description("Layer-4 load balancer for QUIC."))
	k.FatalIfErrorf(k.Run())
}
