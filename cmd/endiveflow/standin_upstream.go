package main

import (
	"context"
	"fmt"
	"time"

	"endiveflow.example/endiveflow/settings"
	"endiveflow.example/endiveflow/standin"
)

type standinUpstreamCommand struct {
	Settings string `required:"" type:"existingfile" help:"Settings file of the stand-in."`
}

// longPath is the path prefix of the stand-in's long work.
const longPath = "/long"

// Help returns an example of the command.
func (standinUpstreamCommand) Help() string {
	return `Example:
  endiveflow standin upstream --settings examples/upstream-rota-1.yaml`
}

// Run runs the stand-in upstream until a signal stops it gracefully.
func (c standinUpstreamCommand) Run(ctx context.Context) error {
	s, err := settings.LoadUpstream(c.Settings)
	if err != nil {
		return fmt.Errorf("reading settings: %w", err)
	}
	u, err := standin.NewUpstream(standin.UpstreamConfig{
		Service:   s.Service,
		Address:   s.ListenAddress,
		Slots:     s.Slots,
		AgentURL:  s.AgentURL,
		WorkTimes: map[string]time.Duration{"/": s.ShortWork, longPath: s.LongWork},
	})
	if err != nil {
		return fmt.Errorf("starting upstream: %w", err)
	}
	return runComponent(ctx, "upstream", func(ctx context.Context) <-chan error { return runUpstream(ctx, u) })
}

// runUpstream runs the upstream and stops it gracefully when ctx ends.
func runUpstream(ctx context.Context, u *standin.Upstream) <-chan error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := u.Run(runCtx)
	context.AfterFunc(ctx, func() {
		defer cancel()
		grace, stop := context.WithTimeout(runCtx, settings.DefaultShutdownGrace)
		defer stop()
		_ = u.Shutdown(grace)
	})
	return done
}
