package main

import (
	"context"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/packetnode"
	"endiveflow.example/endiveflow/platform"
)

type entryCommand struct{}

// Run runs an entry.
func (entryCommand) Run() error {
	return runRole(func(s platform.Settings, log *eventlog.Log) func(context.Context) <-chan error {
		return packetnode.EntryRole{Settings: s, Log: log}.Run
	})
}
