package main

import (
	"context"
	"fmt"

	"endiveflow.example/endiveflow/settings"
	"endiveflow.example/endiveflow/standin"
)

type standinFabricCommand struct {
	Settings string `required:"" type:"existingfile" help:"Settings file of the stand-in."`
}

// Help returns an example of the command.
func (standinFabricCommand) Help() string {
	return `Example:
  endiveflow standin fabric --settings examples/fabric.yaml`
}

// Run runs one stand-in fabric for each service.
func (c standinFabricCommand) Run(ctx context.Context) error {
	s, err := settings.LoadFabric(c.Settings)
	if err != nil {
		return fmt.Errorf("reading settings: %w", err)
	}
	var fabrics []*standin.Fabric
	for _, service := range s.Services {
		f, err := standin.NewFabric(standin.FabricConfig{
			Address: service.ListenAddress,
			Entries: fabricEntries(service.Entries),
			Log:     newLog(s.LogLevel),
		})
		if err != nil {
			return fmt.Errorf("starting fabric: %w", err)
		}
		fabrics = append(fabrics, f)
	}
	return runComponent(ctx, "fabric", func(ctx context.Context) <-chan error { return runAll(ctx, fabrics) })
}

func fabricEntries(entries []settings.FabricEntry) []standin.FabricEntry {
	out := make([]standin.FabricEntry, len(entries))
	for i, e := range entries {
		out[i] = standin.FabricEntry{Address: e.Address, HealthURL: e.HealthURL}
	}
	return out
}

// runAll runs the fabrics. When all have ended, the channel receives the first error or nil.
func runAll(ctx context.Context, fabrics []*standin.Fabric) <-chan error {
	var ends []<-chan error
	for _, f := range fabrics {
		ends = append(ends, f.Run(ctx))
	}
	done := make(chan error, 1)
	go func() {
		var first error
		for _, end := range ends {
			if err := <-end; err != nil && first == nil {
				first = err
			}
		}
		done <- first
	}()
	return done
}
