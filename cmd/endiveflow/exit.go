package main

import (
	"github.com/alecthomas/kong"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/platform"
)

// Exit codes of all commands, see docs/commands.md.
const (
	exitSuccess     = 0
	exitFailure     = 1
	exitInvalid     = 2
	exitConflict    = 3
	exitUnavailable = 4
)

// exitHelp describes the exit codes in --help.
const exitHelp = `Layer-4 load balancer for QUIC.

Exit codes: 0 success; 1 failure; 2 usage or invalid input; 3 conflict with another operator; 4 store unavailable, or outcome of a write unclear.`

// exitCode returns the exit code of a command that ended with err. A conflict takes precedence because it
// is certain and needs the operator. An unavailable store takes precedence over invalid input because the
// outcome is then still open.
func exitCode(err error) int {
	usage := new(kong.ParseError)
	switch {
	case err == nil:
		return exitSuccess
	case errors.Is(err, platform.Conflict):
		return exitConflict
	case errors.Is(err, platform.Unavailable), errors.Is(err, platform.Unclear):
		return exitUnavailable
	case errors.As(err, &usage), errors.Is(err, errors.NotValid):
		return exitInvalid
	default:
		return exitFailure
	}
}
