package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	jujuerrors "github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/settings"
)

type checkCommand struct {
	outputFlags
	Platform string   `env:"ENDIVEFLOW_PLATFORM" placeholder:"URL" help:"Base URL of the object API, to check together with what is in force."`
	Offline  bool     `help:"Check the files alone."`
	Settings []string `placeholder:"ROLE=FILE" sep:"none" help:"Settings file of a process, such as entry=examples/entry-1.yaml; may be repeated. Roles: entry, agent, platform, fabric, upstream."`
	Files    []string `arg:"" optional:"" help:"Configuration files of documents with kind, name and spec; without any file, what is in force is checked."`
}

// checkOutput is the JSON form of a check without problems.
type checkOutput struct {
	Objects  int `json:"objects"`
	Settings int `json:"settings"`
}

// settingsLoaders holds the function that loads the settings file of each role.
var settingsLoaders = map[string]func(path string) error{
	"entry":    loader(settings.LoadEntry),
	"agent":    loader(settings.LoadAgent),
	"platform": loader(settings.LoadPlatform),
	"fabric":   loader(settings.LoadFabric),
	"upstream": loader(settings.LoadUpstream),
}

func loader[T any](load func(string) (T, error)) func(string) error {
	return func(path string) error {
		_, err := load(path)
		return err
	}
}

// Help returns examples of the command.
func (checkCommand) Help() string {
	return `Reports all problems of files as file:line:column: key: problem. Settings files are checked without the store.

Examples:
  endiveflow check --offline examples/config.yaml
  endiveflow check --settings entry=examples/entry-1.yaml --settings agent=examples/agent-rota-1.yaml`
}

// Run reports all problems of the files, or of the configuration in force if no file is named.
func (c checkCommand) Run(ctx context.Context, out io.Writer) error {
	var result checkOutput
	settingsErr := c.checkSettings(&result)
	var configErr error
	if len(c.Files) > 0 || len(c.Settings) == 0 {
		result.Objects, configErr = c.checkConfig(ctx)
	}
	if err := errors.Join(settingsErr, configErr); err != nil {
		return err
	}
	return c.print(out, result, func(w io.Writer) {
		if len(c.Settings) > 0 {
			_, _ = fmt.Fprintf(w, "%d settings files are valid\n", result.Settings)
		}
		if len(c.Files) > 0 || len(c.Settings) == 0 {
			_, _ = fmt.Fprintf(w, "%d objects are valid\n", result.Objects)
		}
	})
}

func (c checkCommand) checkSettings(result *checkOutput) error {
	var problems []error
	for _, text := range c.Settings {
		role, path, _ := strings.Cut(text, "=")
		load, ok := settingsLoaders[role]
		if !ok || path == "" {
			problems = append(problems, jujuerrors.NewNotValid(nil, fmt.Sprintf("--settings %q is not valid, expected ROLE=FILE with one of the roles %s", text, roles())))
			continue
		}
		if err := load(path); err != nil {
			problems = append(problems, fmt.Errorf("settings of role %s are not valid:\n%w", role, err))
			continue
		}
		result.Settings++
	}
	return errors.Join(problems...)
}

func roles() string {
	var names []string
	for name := range settingsLoaders {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// checkConfig returns the number of valid objects.
func (c checkCommand) checkConfig(ctx context.Context) (int, error) {
	var objects []config.Object
	if c.Platform != "" && !c.Offline {
		a, err := storeFlags{Platform: c.Platform}.reader()
		if err != nil {
			return 0, err
		}
		if objects, err = a.Objects(ctx); err != nil {
			return 0, fmt.Errorf("checking, see --offline: %w", err)
		}
	}
	if len(c.Files) > 0 {
		set, err := config.LoadWith(objects, c.Files...)
		if err != nil {
			return 0, fmt.Errorf("not valid:\n%w", err)
		}
		return len(set.Objects()), nil
	}
	if c.Platform == "" || c.Offline {
		return 0, jujuerrors.NewNotValid(nil, "nothing to check: name files, --settings or --platform")
	}
	if err := config.CheckObjects(objects); err != nil {
		return 0, fmt.Errorf("the configuration in force has problems:\n%w", err)
	}
	live, err := selectLive(objects, nil)
	return len(live), err
}
