package main

import (
	"fmt"
	"os/user"
	"time"

	"endiveflow.example/endiveflow/apply"
	"endiveflow.example/endiveflow/platform"
)

// storeFlags are the flags of commands that access the object store.
type storeFlags struct {
	Platform string        `required:"" env:"ENDIVEFLOW_PLATFORM" placeholder:"URL" help:"Base URL of the platform's object API."`
	Timeout  time.Duration `default:"2s" help:"Longest wait for one call of the store."`
}

// writeFlags are the flags of commands that write to the store.
type writeFlags struct {
	storeFlags
	Resolve time.Duration `default:"15s" help:"Longest wait until the outcome of a write is known."`
	Why     string        `required:"" help:"Reason of the change, kept in its audit entry."`
	Who     string        `env:"ENDIVEFLOW_OPERATOR" help:"Operator named in the audit entry; default the login name."`
}

// reader returns an applier for commands that only read.
func (f storeFlags) reader() (*apply.Applier, error) { return f.applier("reader", 0) }

func (f storeFlags) applier(who string, resolve time.Duration) (*apply.Applier, error) {
	client, err := platform.New(platform.Config{URL: f.Platform, Timeout: f.Timeout})
	if err != nil {
		return nil, fmt.Errorf("connecting to the store: %w", err)
	}
	a, err := apply.New(apply.Config{Client: client, Who: who, ResolveTimeout: resolve})
	if err != nil {
		return nil, fmt.Errorf("preparing to write: %w", err)
	}
	return a, nil
}

func (f writeFlags) writer() (*apply.Applier, error) {
	who := f.Who
	if who == "" {
		login, err := user.Current()
		if err != nil {
			return nil, fmt.Errorf("finding the login name, which --who can replace: %w", err)
		}
		who = login.Username
	}
	return f.applier(who, f.Resolve)
}
