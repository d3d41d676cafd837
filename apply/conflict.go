package apply

import (
	"fmt"
	"strings"
	"time"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/platform"
)

// ConflictError reports that an object was changed after the version on which a write is based. It is of kind
// platform.Conflict.
type ConflictError struct {
	Key config.Key
	// Read is the version on which the write is based; 0 if the object did not exist.
	Read uint64
	// Found is the current version.
	Found uint64
	// Others holds the audit entries of the writes since Read, oldest first.
	Others []config.Change
}

// Error returns a message that names the other writes.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s is at version %d, this write is based on version %d", e.Key, e.Found, e.Read)
	for _, c := range e.Others {
		fmt.Fprintf(&b, "; changed by %s at %s (%s): %s", c.Who, c.When.UTC().Format(time.RFC3339), c.Why, strings.Join(c.Diff, ", "))
	}
	return b.String()
}

// Is reports whether target is platform.Conflict.
func (*ConflictError) Is(target error) bool { return target == platform.Conflict }

func newConflictError(k config.Key, read uint64, current config.Object) *ConflictError {
	e := &ConflictError{Key: k, Read: read, Found: current.Version}
	for _, c := range current.Changes {
		if c.BaseVersion >= read {
			e.Others = append(e.Others, c)
		}
	}
	return e
}
