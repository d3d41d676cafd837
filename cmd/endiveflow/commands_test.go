package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"
)

// updatePages makes TestCommandsPage write the reference instead of comparing it with the code.
var updatePages = flag.Bool("update", false, "write the reference part of docs/commands.md")

const (
	commandsPage = "../../docs/commands.md"
	// referenceHeading starts the part of the page that is compared with the code.
	referenceHeading = "\n## Reference\n"
)

// Guards against commands, flags, defaults and environment variables that docs/commands.md does not list,
// or lists although they no longer exist.
func TestCommandsPage(t *testing.T) {
	text, err := os.ReadFile(commandsPage)
	require.NoError(t, err)
	before, reference, ok := strings.Cut(string(text), referenceHeading)
	require.True(t, ok, "the page has no heading Reference")
	var want strings.Builder
	for _, command := range newParser().Model.Leaves(true) {
		writeReference(&want, command)
	}
	if *updatePages {
		require.NoError(t, os.WriteFile(commandsPage, []byte(before+referenceHeading+want.String()), 0o600))
		return
	}
	require.Equal(t, want.String(), reference, "go test ./cmd/endiveflow -run TestCommandsPage -update writes it")
}

func writeReference(b *strings.Builder, command *kong.Node) {
	fmt.Fprintf(b, "\n### `endiveflow %s`\n\n%s\n", command.Path(), command.Help)
	if len(command.Flags)+len(command.Positional) == 0 {
		return
	}
	b.WriteString("\n| flag or argument | default | meaning |\n|---|---|---|\n")
	for _, f := range command.Flags {
		name := f.Name
		if !f.IsBool() {
			name += "=" + f.FormatPlaceHolder()
			if f.HasDefault {
				name = f.Name + "=" + strings.ToUpper(f.Name)
			}
		}
		name = "`--" + name + "`"
		if f.Short != 0 {
			name += fmt.Sprintf(", `-%c`", f.Short)
		}
		fmt.Fprintf(b, "| %s | %s | %s |\n", name, defaultOf(f.Value, f.Envs), f.Help)
	}
	for _, p := range command.Positional {
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", p.Summary(), defaultOf(p, nil), p.Help)
	}
}

func defaultOf(v *kong.Value, envs []string) string {
	text := "none"
	switch {
	case v.Required:
		text = "required"
	case v.IsBool():
		text = "off"
	case v.HasDefault:
		text = "`" + v.Default + "`"
	}
	for _, env := range envs {
		text = "`$" + env + "`, else " + text
	}
	return text
}

// Guards against commands whose --help shows no example, and against exit codes that the page or --help
// does not describe.
func TestHelpIsComplete(t *testing.T) {
	model := newParser().Model
	for _, command := range model.Leaves(true) {
		require.Regexp(t, `(?s)Examples?:\n  endiveflow `+command.Path()+`\b`, command.Detail, "%s --help", command.Path())
	}
	text, err := os.ReadFile(commandsPage)
	require.NoError(t, err)
	for code, meaning := range map[int]string{
		exitSuccess: "success", exitFailure: "failure", exitInvalid: "usage or invalid input",
		exitConflict: "conflict with another operator", exitUnavailable: "store unavailable, or outcome of a write unclear",
	} {
		require.Contains(t, model.Help, fmt.Sprintf("%d %s", code, meaning))
		require.Contains(t, string(text), fmt.Sprintf("| %d | %s |", code, meaning))
	}
}
