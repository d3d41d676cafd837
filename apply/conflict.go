package apply

import (
	"fmt"
	"strings"
	"time"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/platform"
)

// ConflictError says that an object was changed after the version that a write
// is based on. It is of kind platform.Conflict.
type ConflictError struct {
	Key config.Key
	// Read is the version that the write is based on; 0 when there was no object.
	Read uint64
	// Found is the current version.
	Found uint64
	// Others are the audit entries of the writes since Read, oldest first.
	Others []config.Change
}

// Error names the other writes.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s is at version %d, this write is based on version %d", e.Key, e.Found, e.Read)
	for _, c := range e.Others {
		fmt.Fprintf(&b, "; changed by %s at %s (%s): %s", c.Who, c.When.UTC().Format(time.RFC3339), c.Why, strings.Join(c.Diff, ", "))
	}
	return b.String()
}

// Is reports the kind platform.Conflict.
func (*ConflictError) Is(target error) bool { return target == platform.Conflict }

func conflictOf(k config.Key, read uint64, current config.Object) *ConflictError {
	e := &ConflictError{Key: k, Read: read, Found: current.Version}
	for _, c := range current.Changes {
		if c.BaseVersion >= read {
			e.Others = append(e.Others, c)
		}
	}
	return e
}
