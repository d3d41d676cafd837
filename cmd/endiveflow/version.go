package main

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
)

// revision is set by go build -ldflags "-X main.revision=..." where the Go
// toolchain records none, as with go run and in git worktrees.
var revision string

type versionCommand struct{ outputFlags }

// versionOutput is the JSON form of the version.
type versionOutput struct {
	// Version is the module version that the Go toolchain recorded.
	Version string `json:"version"`
	// Revision is the commit of the checkout; empty when it was not recorded.
	Revision string `json:"revision,omitempty"`
	Time     string `json:"time,omitempty"`
	// Modified reports whether the checkout had uncommitted changes.
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

// Help returns an example of the command.
func (versionCommand) Help() string {
	return `Example:
  endiveflow version --output json`
}

// Run prints the build information that the Go toolchain recorded.
func (c versionCommand) Run(out io.Writer) error {
	v := versionOutput{Version: "unknown", Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH, Revision: revision}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.record(info)
	}
	return c.print(out, v, v.write)
}

func (v *versionOutput) record(info *debug.BuildInfo) {
	v.Version = info.Main.Version
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			v.Revision = s.Value
		case "vcs.time":
			v.Time = s.Value
		case "vcs.modified":
			v.Modified = s.Value == "true"
		}
	}
}

func (v versionOutput) write(w io.Writer) {
	commit := v.Revision
	if commit == "" {
		commit = "not recorded, see docs/commands.md"
	}
	if v.Modified {
		commit += " with uncommitted changes"
	}
	_, _ = fmt.Fprintf(w, "endiveflow %s\nrevision\t%s\n", v.Version, commit)
	if v.Time != "" {
		_, _ = fmt.Fprintf(w, "committed\t%s\n", v.Time)
	}
	_, _ = fmt.Fprintf(w, "built with\t%s %s\n", v.Go, v.Platform)
}
