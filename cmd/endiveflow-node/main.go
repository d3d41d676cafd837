// Command endiveflow-node runs one process of the packet path: an entry or an agent. It is a separate
// program so that it starts quickly.
package main

import (
	"context"
	"errors"
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

// hangupSignals receives the SIGHUP signals, which reload the settings.
var hangupSignals = make(chan os.Signal, 1)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	// Notify is called first, because a SIGHUP before that would end the process.
	signal.Notify(hangupSignals, syscall.SIGHUP)
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

// runRole loads the settings, runs a role until a stop signal, and writes its log.
func runRole(start func(platform.Settings, *eventlog.Log) role) error {
	settings, err := platform.LoadSettings(platform.SettingsPath())
	if err != nil {
		return fmt.Errorf("loading settings: %w", err)
	}
	log := eventlog.New(eventlog.Config{Out: os.Stdout, Node: settings.Name})
	logging, stopLog := context.WithCancel(context.Background())
	written := log.Run(logging)
	logIgnored(settings, log)
	stop, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	r := start(settings, log)
	reloaded := reload(stop, r, log)
	err = <-r.Run(stop)
	cancel()
	err = errors.Join(err, <-reloaded)
	stopLog()
	if err = errors.Join(err, <-written); err != nil {
		return fmt.Errorf("running: %w", err)
	}
	return nil
}

// logIgnored logs the parts of the settings that are ignored.
func logIgnored(s platform.Settings, log *eventlog.Log) {
	for _, p := range s.Ignored {
		log.Warn("setting ignored", "error", p.Error())
	}
}

// role is an entry or an agent.
type role struct {
	// Run runs the role until its context ends.
	Run func(context.Context) <-chan error
	// Reload applies changed settings.
	Reload func(platform.Settings)
}

// reload loads the settings again at each SIGHUP until ctx ends. If they can't be loaded, the former
// settings stay in force.
func reload(ctx context.Context, r role, log *eventlog.Log) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangupSignals:
				settings, err := platform.LoadSettings(platform.SettingsPath())
				if err != nil {
					log.Error("reload", "outcome", "kept the former settings", "error", err.Error())
					continue
				}
				logIgnored(settings, log)
				r.Reload(settings)
				log.Info("reload", "outcome", "applied", "seeds", len(settings.Seeds), "stopGraceMs", settings.ShutdownGrace.Milliseconds())
			}
		}
	}()
	return done
}
