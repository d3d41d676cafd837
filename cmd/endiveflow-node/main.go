// Command endiveflow-node runs one process of the packet path: an entry or an
// agent. It is a program of its own so that a start costs little.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/platform"
)

type cli struct {
	Entry entryCommand `cmd:"" help:"Run an entry: the process that takes the packets of callers."`
	Agent agentCommand `cmd:"" help:"Run an agent: the process beside a host."`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := kong.Must(new(cli), kong.Name("endiveflow-node"), kong.Description("Runs one process of the packet path."))
	k, err := parser.Parse(args)
	if err == nil {
		err = k.Run()
	}
	if err != nil {
		parser.Errorf("%s", err)
		return 1
	}
	return 0
}

// runRole reads the settings, runs a role until a signal to stop, and writes its log.
func runRole(start func(platform.Settings, *eventlog.Log) func(context.Context) <-chan error) error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		path = platform.DefaultSettingsPath
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return fmt.Errorf("loading settings: %w", err)
	}
	log := eventlog.New(eventlog.Config{Out: os.Stdout, Node: settings.Name})
	logging, stopLog := context.WithCancel(context.Background())
	written := log.Run(logging)
	stop, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	err = <-start(settings, log)(stop)
	stopLog()
	<-written
	if err != nil {
		return fmt.Errorf("running: %w", err)
	}
	return nil
}
