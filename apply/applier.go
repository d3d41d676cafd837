package apply

import (
	"cmp"
	"context"
	"crypto/rand"
	stderrors "errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/platform"
)

// DefaultResolveTimeout is the default of Config.ResolveTimeout.
const DefaultResolveTimeout = 15 * time.Second

// Config configures an Applier.
type Config struct {
	// Client calls the store.
	Client *platform.Client
	// Who is the operator named in audit entries. It must not be empty.
	Who string
	// Now returns the time for audit entries; nil means time.Now.
	Now func() time.Time
	// NewID returns a unique operation ID; nil means rand.Text.
	NewID func() string
	// ResolveTimeout limits the time for writing an object, including the reads that determine an unclear
	// outcome; 0 means DefaultResolveTimeout.
	ResolveTimeout time.Duration
	// Backoff spaces the attempts while the outcome is unclear.
	Backoff platform.Backoff
	// Log receives the objects that can't be read; nil means slog.Default.
	Log *slog.Logger
}

// Applier writes configuration to the store. It is safe for concurrent use.
type Applier struct{ cfg Config }

// Action is the effect of a step on an object.
type Action string

// Actions of steps.
const (
	ActionCreate Action = "create"
	ActionUpdate Action = "update"
	ActionDelete Action = "delete"
	ActionNone   Action = "none"
)

// Step is the planned write of one object.
type Step struct {
	Key    config.Key
	Action Action
	// Base is the version on which the write is based; 0 if the object does not exist.
	Base uint64
	// Diff lists the changed settings, each as "path: old -> new".
	Diff []string
	// old and object are the objects before and after the write.
	old, object config.Object
}

// Result is the outcome of one step.
type Result struct {
	Step
	// Version is the version after the write; 0 if the write failed. For a step without a write it is Base.
	Version uint64
	// Recovered reports that the answer of the store was lost and the write was found by reading the object
	// back.
	Recovered bool
	// Err is the error of the write; nil if it took effect or there was nothing to write.
	Err error
}

// Report holds the outcomes of the steps in the order of the writes. It ends at the first failure: later steps
// are not attempted.
type Report struct {
	Results []Result
	// NotAttempted holds the steps after the first failure.
	NotAttempted []Step
}

// New returns an Applier, or an error of kind errors.NotValid.
func New(cfg Config) (*Applier, error) {
	if cfg.Client == nil || strings.TrimSpace(cfg.Who) == "" {
		return nil, errors.NotValidf("applier without a client or an operator's name")
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	if cfg.NewID == nil {
		cfg.NewID = rand.Text
	}
	if cfg.ResolveTimeout <= 0 {
		cfg.ResolveTimeout = DefaultResolveTimeout
	}
	return &Applier{cfg: cfg}, nil
}

// Objects returns all objects in the store, including deleted ones, ordered by key. Objects that can't be read are skipped and
// logged: another writer's must not keep operators from changing the others.
func (a *Applier) Objects(ctx context.Context) ([]config.Object, error) {
	l, err := a.cfg.Client.List(ctx, config.StorePrefix, platform.Current)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	out := make([]config.Object, 0, len(l.Objects))
	for _, stored := range l.Objects {
		o, err := config.DecodeValue(stored.Value, stored.Version)
		if err == nil && o.StoreKey() != stored.Key {
			err = errors.NotValidf("object of key %s", o.StoreKey())
		}
		if err != nil {
			a.cfg.Log.Warn("object in the store cannot be read", "key", stored.Key, "version", stored.Version, "error", err)
			continue
		}
		out = append(out, o)
	}
	return config.NewSet(out...).Objects(), nil
}

// Plan returns the steps that bring a set into force, based on the versions currently in the store. See
// PlanFrom.
func (a *Applier) Plan(ctx context.Context, set config.Set) ([]Step, error) {
	stored, err := a.Objects(ctx)
	if err != nil {
		return nil, err
	}
	return PlanFrom(stored, set)
}

// PlanFrom returns the steps that bring a set into force. Each step is based on the version of the stored
// object; if the set names another version, the error is a *ConflictError. If an object would move to another
// service or host, the error is of kind errors.NotValid.
func PlanFrom(stored []config.Object, set config.Set) ([]Step, error) {
	current := byKey(stored)
	var steps []Step
	var problems []error
	for _, o := range set.Objects() {
		old := current[o.Key]
		if err := checkOwner(old, o); err != nil {
			problems = append(problems, err)
			continue
		}
		if o.Version != 0 && o.Version != old.Version {
			problems = append(problems, newConflictError(o.Key, o.Version, old))
			continue
		}
		steps = append(steps, planStep(old, o))
	}
	if len(problems) > 0 {
		return nil, stderrors.Join(problems...)
	}
	slices.SortStableFunc(steps, func(x, y Step) int { return cmp.Compare(writeOrder(x.Key.Kind), writeOrder(y.Key.Kind)) })
	return steps, nil
}

func byKey(objects []config.Object) map[config.Key]config.Object {
	out := make(map[config.Key]config.Object, len(objects))
	for _, o := range objects {
		out[o.Key] = o
	}
	return out
}

// writeOrder ranks kinds so that services come before the objects that refer to them.
func writeOrder(k config.Kind) int {
	return slices.Index([]config.Kind{config.KindService, config.KindUpstream, config.KindDefaults, config.KindException}, k)
}

// checkOwner rejects a change that moves an object to another service or host. Agents receive only the objects
// of their service, so an object that moved to another service would stay in force at the agents of the former
// one.
func checkOwner(old, next config.Object) error {
	oldOwner, newOwner := owner(old), owner(next)
	if oldOwner == "" || newOwner == "" || oldOwner == newOwner {
		return nil
	}
	return errors.NotValidf("%s applies to %s and cannot move to %s; use another name", next.Key, oldOwner, newOwner)
}

func owner(o config.Object) string {
	switch {
	case o.Upstream != nil:
		return config.ServiceTarget(o.Upstream.Service)
	case o.Exception != nil:
		return o.Exception.Target
	}
	return ""
}

func planStep(old, next config.Object) Step {
	s := Step{Key: next.Key, Base: old.Version, old: old, object: next, Action: ActionUpdate}
	before := old
	if old.Version == 0 || old.Deleted {
		s.Action = ActionCreate
		before = config.Object{Key: next.Key}
	}
	s.Diff = diff(before, next)
	if s.Action == ActionUpdate && len(s.Diff) == 0 {
		s.Action = ActionNone
	}
	return s
}

// PlanDelete returns the steps that delete objects. If live objects refer to one of them, the error is of kind
// errors.NotValid.
func (a *Applier) PlanDelete(ctx context.Context, keys ...config.Key) ([]Step, error) {
	stored, err := a.Objects(ctx)
	if err != nil {
		return nil, err
	}
	current := byKey(stored)
	var steps []Step
	var problems []error
	for _, k := range keys {
		old, ok := current[k]
		if !ok || old.Deleted {
			problems = append(problems, errors.NotFoundf("%s", k))
			continue
		}
		next := old
		next.Deleted = true
		steps = append(steps, Step{Key: k, Action: ActionDelete, Base: old.Version, Diff: []string{"deleted: false -> true"}, old: old, object: next})
		delete(current, k)
	}
	for _, s := range steps {
		for _, referrer := range referrers(current, s.old) {
			problems = append(problems, errors.NotValidf("deleting %s, which %s refers to,", s.Key, referrer))
		}
	}
	if len(problems) > 0 {
		return nil, stderrors.Join(problems...)
	}
	slices.SortStableFunc(steps, func(x, y Step) int { return cmp.Compare(writeOrder(y.Key.Kind), writeOrder(x.Key.Kind)) })
	return steps, nil
}

// referrers returns the keys of live objects that refer to a deleted service, or to a host that was only in the
// networks of a deleted upstream.
func referrers(current map[config.Key]config.Object, deleted config.Object) []config.Key {
	var out []config.Key
	for _, o := range current {
		if !o.Deleted && refersTo(current, o, deleted) {
			out = append(out, o.Key)
		}
	}
	slices.SortFunc(out, func(x, y config.Key) int { return strings.Compare(x.String(), y.String()) })
	return out
}

func refersTo(current map[config.Key]config.Object, o, deleted config.Object) bool {
	switch {
	case deleted.Kind == config.KindService:
		return owner(o) == config.ServiceTarget(deleted.Name)
	case deleted.Upstream == nil || o.Exception == nil:
		return false
	}
	target, err := config.ParseTarget(o.Exception.Target)
	if err != nil || !target.Host.IsValid() || !deleted.Upstream.Contains(target.Host) {
		return false
	}
	for _, other := range current {
		if !other.Deleted && other.Upstream != nil && other.Upstream.Contains(target.Host) {
			return false
		}
	}
	return true
}

// Apply brings a set into force. See Run for the errors.
func (a *Applier) Apply(ctx context.Context, set config.Set, why string) (Report, error) {
	steps, err := a.Plan(ctx, set)
	if err != nil {
		return Report{}, err
	}
	return a.Run(ctx, steps, why)
}

// Delete marks objects as deleted. See Run for the errors.
func (a *Applier) Delete(ctx context.Context, why string, keys ...config.Key) (Report, error) {
	steps, err := a.PlanDelete(ctx, keys...)
	if err != nil {
		return Report{}, err
	}
	return a.Run(ctx, steps, why)
}

// Run performs the planned writes and stops at the first failure. The error is a *ConflictError if another write
// came first, and of kind platform.Unavailable or platform.Unclear if the store did not answer.
func (a *Applier) Run(ctx context.Context, steps []Step, why string) (Report, error) {
	if strings.TrimSpace(why) == "" {
		return Report{}, errors.NotValidf("write without a reason")
	}
	var report Report
	for i, s := range steps {
		r := Result{Step: s, Version: s.Base}
		if s.Action != ActionNone {
			r = a.write(ctx, s, why)
		}
		report.Results = append(report.Results, r)
		if r.Err != nil {
			report.NotAttempted = steps[i+1:]
			return report, r.Err
		}
	}
	return report, nil
}
