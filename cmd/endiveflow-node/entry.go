package main

import (
	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/packetnode"
	"endiveflow.example/endiveflow/platform"
)

type entryCommand struct{}

// Run runs an entry.
func (entryCommand) Run() error {
	return runRole(func(s platform.Settings, log *eventlog.Log) role {
		entry := packetnode.NewEntry(s, log)
		return role{Run: entry.Run, Reload: entry.Reload}
	})
}
