package main

import (
	"context"
	"fmt"

	"endiveflow.example/endiveflow/agent"
	"endiveflow.example/endiveflow/member"
	"endiveflow.example/endiveflow/settings"
)

type agentCommand struct {
	Settings string `required:"" type:"existingfile" help:"Settings file of the agent, see docs/settings.md."`
}

// Help returns an example of the command.
func (agentCommand) Help() string {
	return `Runs an agent until SIGTERM, which stops it gracefully.

Example:
  endiveflow agent --settings examples/agent-rota-1.yaml`
}

// Run runs an agent.
func (c agentCommand) Run(ctx context.Context) error {
	s, err := settings.LoadAgent(c.Settings)
	if err != nil {
		return fmt.Errorf("reading settings: %w", err)
	}
	log := newLog(s.LogLevel)
	return runRole(ctx, "agent", func(lastIncarnation member.Incarnation) (func(context.Context) <-chan error, error) {
		role, err := agent.New(agent.RoleConfig{Settings: s, LastIncarnation: lastIncarnation, Log: log})
		if err != nil {
			return nil, err
		}
		log.Info("agent started", "admin", role.AdminAddress(), "tunnel", s.TunnelAddress, "service", s.Service)
		return role.Run, nil
	})
}
