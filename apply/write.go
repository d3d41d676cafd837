package apply

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/platform"
)

// write performs a conditional write. If the store reports a conflict or the outcome is unclear, it reads the
// object back and repeats the write until the outcome is known or Config.ResolveTimeout has passed. Repeating the
// write is safe: each attempt has the same condition, so at most one takes effect.
func (a *Applier) write(ctx context.Context, s Step, why string) Result {
	r := Result{Step: s}
	change := config.Change{OperationID: a.cfg.NewID(), Who: a.cfg.Who, When: a.cfg.Now().UTC(), Why: why, BaseVersion: s.Base, Diff: s.Diff}
	object := s.object
	object.Changes = appendChange(s.old.Changes, change)
	value, err := config.EncodeValue(object)
	if err != nil {
		r.Err = err
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, a.cfg.ResolveTimeout)
	defer cancel()
	outcome := platform.Unavailable
	for failures := 1; ; failures++ {
		version, err := a.cfg.Client.Put(ctx, s.Key.StoreKey(), value, s.Base)
		if err == nil {
			r.Version = version
			return r
		}
		outcome = combineOutcomes(outcome, err)
		if outcome == platform.Unavailable {
			r.Err = fmt.Errorf("writing %s: %w", s.Key, err)
			return r
		}
		if a.resolve(ctx, &r, change, outcome) {
			return r
		}
		if a.cfg.Backoff.Wait(ctx, failures) != nil {
			// The last error is formatted without wrapping, because its kind is not the outcome of the write as
			// a whole.
			r.Err = errors.WithType(fmt.Errorf("writing %s, operation %s: %v", s.Key, change.OperationID, err), outcome) //nolint:errorlint // See above.
			return r
		}
	}
}

// combineOutcomes returns what is known about the write after another failed attempt. An attempt that may have
// taken effect leaves the outcome unclear until the object is read back.
func combineOutcomes(outcome errors.ConstError, err error) errors.ConstError {
	switch {
	case outcome == platform.Unclear, errors.Is(err, platform.Unclear):
		return platform.Unclear
	case errors.Is(err, platform.Conflict):
		return platform.Conflict
	}
	return outcome
}

// resolve reads the object back and sets the outcome if it can be determined, and reports whether it could. A
// read of the base version or an older one determines nothing: it may be stale, and a delayed write may still
// take effect. Only one of the writes based on a version takes effect, and its audit entry identifies it unless
// the entry has been dropped since.
func (a *Applier) resolve(ctx context.Context, r *Result, change config.Change, outcome errors.ConstError) bool {
	current, err := a.read(ctx, r.Key)
	if err != nil || current.Version <= r.Base {
		return false
	}
	for i, c := range current.Changes {
		switch {
		case c.BaseVersion != r.Base:
		case c.OperationID == change.OperationID:
			r.Version, r.Recovered = current.Version, true
			if i+1 < len(current.Changes) {
				r.Version = current.Changes[i+1].BaseVersion
			}
			return true
		default:
			outcome = platform.Conflict
		}
	}
	if outcome != platform.Conflict {
		return false
	}
	r.Err = newConflictError(r.Key, r.Base, current)
	return true
}

func (a *Applier) read(ctx context.Context, k config.Key) (config.Object, error) {
	stored, err := a.cfg.Client.Get(ctx, k.StoreKey())
	if errors.Is(err, errors.NotFound) {
		return config.Object{Key: k}, nil
	}
	if err != nil {
		return config.Object{}, fmt.Errorf("reading %s back: %w", k, err)
	}
	o, err := config.DecodeValue(stored.Value, stored.Version)
	if err != nil {
		return config.Object{}, fmt.Errorf("reading %s back: %w", k, err)
	}
	return o, nil
}

// appendChange returns a new list of the newest MaxChanges entries.
func appendChange(old []config.Change, c config.Change) []config.Change {
	start := max(0, len(old)+1-config.MaxChanges)
	out := append([]config.Change(nil), old[start:]...)
	return append(out, c)
}
