package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/node"
)

// newLog makes JSON lines on standard error.
func newLog(level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// runPart runs one part of a process until ctx ends, as it does with a signal.
func runPart(ctx context.Context, name string, run func(context.Context) <-chan error) error {
	if err := <-run(ctx); err != nil {
		return fmt.Errorf("running %s: %w", name, err)
	}
	return nil
}

// runRole runs a role until ctx ends, as it does with a signal. When another incarnation of the
// same member is known, it starts again above it: the clock of the VM went
// back, or an earlier process at these addresses still ran.
func runRole(ctx context.Context, name string, start func(floor member.Incarnation) (func(context.Context) <-chan error, error)) error {
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
