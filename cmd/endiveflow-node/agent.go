package main

import (
	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/packetnode"
	"endiveflow.example/endiveflow/platform"
)

type agentCommand struct{}

// Run runs an agent.
func (agentCommand) Run() error {
	return runRole(func(s platform.Settings, log *eventlog.Log) role {
		agent := packetnode.NewAgent(s, log)
		return role{Run: agent.Run, Reload: agent.Reload}
	})
}
