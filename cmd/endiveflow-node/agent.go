package main

import (
	"context"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/packetnode"
	"endiveflow.example/endiveflow/platform"
)

type agentCommand struct{}

// Run runs an agent.
func (agentCommand) Run() error {
	return runRole(func(s platform.Settings, log *eventlog.Log) func(context.Context) <-chan error {
		return packetnode.AgentRole{Settings: s, Log: log}.Run
	})
}
