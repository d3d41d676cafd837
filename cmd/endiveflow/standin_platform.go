package main

import (
	"context"
	"fmt"

	"endiveflow.example/endiveflow/settings"
	"endiveflow.example/endiveflow/standin"
)

type standinPlatformCommand struct {
	Settings string `required:"" type:"existingfile" help:"Settings file of the stand-in."`
}

// Help returns an example of the command.
func (standinPlatformCommand) Help() string {
	return `Example:
  endiveflow standin platform --settings examples/platform.yaml`
}

// Run runs the stand-in platform.
func (c standinPlatformCommand) Run(ctx context.Context) error {
	s, err := settings.LoadPlatform(c.Settings)
	if err != nil {
		return fmt.Errorf("reading settings: %w", err)
	}
	p := standin.NewPlatform(standin.PlatformConfig{Address: s.ListenAddress.String()})
	return runComponent(ctx, "platform", func(ctx context.Context) <-chan error {
		done, err := p.Run(ctx)
		if err != nil {
			return failedStart(err)
		}
		return done
	})
}

// failedStart returns a channel that holds the error of a failed start.
func failedStart(err error) <-chan error {
	done := make(chan error, 1)
	done <- err
	return done
}
