package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
)

// newLog makes JSON lines on standard error.
func newLog(level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// untilSignal returns a context that ends with SIGINT or SIGTERM.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// runPart runs one part of a process until a signal arrives.
func runPart(name string, run func(context.Context) <-chan error) error {
	ctx, stop := untilSignal()
	defer stop()
	if err := <-run(ctx); err != nil {
		return fmt.Errorf("running %s: %w", name, err)
	}
	return nil
}

// runRole runs a role until a signal arrives. When another incarnation of the
// same member is known, it starts again above it: the clock of the VM went
// back, or an earlier process at these addresses still ran.
func runRole(name string, start func(floor member.Incarnation) (func(context.Context) <-chan error, error)) error {
	ctx, stop := untilSignal()
	defer stop()
	var floor member.Incarnation
	for {
		run, err := start(floor)
		if err != nil {
			return fmt.Errorf("starting %s: %w", name, err)
		}
		err = <-run(ctx)
		superseded := new(node.SupersededError)
		if !errors.As(err, &superseded) || ctx.Err() != nil {
			return wrapRunning(name, err)
		}
		floor = superseded.Incarnation
	}
}

func wrapRunning(name string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("running %s: %w", name, err)
}
