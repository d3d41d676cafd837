package main

import (
	"context"
	"fmt"

	"endiveflow.example/endiveflow/entry"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/settings"
)

type entryCommand struct {
	Settings string `required:"" type:"existingfile" help:"Settings file of the entry, see docs/settings.md."`
}

// Help returns an example of the command.
func (entryCommand) Help() string {
	return `Runs an entry until SIGTERM, which stops it gracefully.

Example:
  endiveflow entry --settings examples/entry-1.yaml`
}

// Run runs an entry.
func (c entryCommand) Run(ctx context.Context) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return fmt.Errorf("reading settings: %w", err)
	}
	log := newLog(s.LogLevel)
	return runRole(ctx, "entry", func(lastIncarnation member.Incarnation) (func(context.Context) <-chan error, error) {
		role, err := entry.New(entry.RoleConfig{Settings: s, LastIncarnation: lastIncarnation, Log: log})
		if err != nil {
			return nil, err
		}
		log.Info("entry started", "admin", role.AdminAddress(), "tunnel", s.TunnelAddress)
		return role.Run, nil
	})
}
