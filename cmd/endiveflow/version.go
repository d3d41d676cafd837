package main

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the module version that the Go toolchain recorded.
func (versionCommand) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	if _, err := fmt.Println("endiveflow", version); err != nil {
		return fmt.Errorf("printing the version: %w", err)
	}
	return nil
}
