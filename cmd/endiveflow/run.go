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

// newLog returns a logger that writes JSON lines to standard error.
func newLog(level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// runComponent runs a component until ctx ends, which happens when the process gets a stop signal.
func runComponent(ctx context.Context, name string, run func(context.Context) <-chan error) error {
	if err := <-run(ctx); err != nil {
		return fmt.Errorf("running %s: %w", name, err)
	}
	return nil
}

// runRole runs a role until ctx ends, which happens when the process gets a stop signal. If other members
// have a record of a higher incarnation of the same member, it restarts the role with a higher one. That
// happens when the clock of the VM was set back, or an earlier process at these addresses was still
// running.
func runRole(ctx context.Context, name string, start func(lastIncarnation member.Incarnation) (func(context.Context) <-chan error, error)) error {
	var lastIncarnation member.Incarnation
	for {
		run, err := start(lastIncarnation)
		if err != nil {
			return fmt.Errorf("starting %s: %w", name, err)
		}
		err = <-run(ctx)
		superseded := new(node.SupersededError)
		if !errors.As(err, &superseded) || ctx.Err() != nil {
			return wrapRunning(name, err)
		}
		lastIncarnation = superseded.Incarnation
	}
}

func wrapRunning(name string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("running %s: %w", name, err)
}
