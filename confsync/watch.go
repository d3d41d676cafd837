package confsync

import (
	"context"
	"fmt"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/platform"
)

// runWatch lists the configuration and then watches for changes. After a failure it lists again, as the store
// may have been restored or may have dropped changes in the meantime.
func (s *Sync) runWatch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := s.listAndWatch(ctx, func() { failures = 0 })
		if ctx.Err() != nil {
			return
		}
		failures++
		s.cfg.Log.Warn("cannot read the store, serving with the last known configuration", "failures", failures, "error", err)
		if s.cfg.Backoff.Wait(ctx, failures) != nil {
			return
		}
	}
}

// listAndWatch lists and watches until a call fails. It calls onSuccess after each successful call.
func (s *Sync) listAndWatch(ctx context.Context, onSuccess func()) error {
	l, err := s.cfg.Client.List(ctx, config.StorePrefix, platform.Current)
	count("lists", resultOf(err))
	if err != nil {
		return fmt.Errorf("listing the configuration: %w", err)
	}
	s.apply(l)
	onSuccess()
	after := l
	for {
		l, err := s.cfg.Client.Watch(ctx, config.StorePrefix, after)
		if ctx.Err() != nil {
			return fmt.Errorf("watching the configuration: %w", ctx.Err())
		}
		count("watches", resultOf(err))
		if err != nil {
			return fmt.Errorf("watching the configuration: %w", err)
		}
		s.apply(l)
		onSuccess()
		after = l
	}
}

// apply applies the objects of a listing to the view. Objects that cannot be decoded are skipped, so that they
// do not block the others.
func (s *Sync) apply(l platform.Listing) {
	for _, stored := range l.Objects {
		o, err := config.DecodeValue(stored.Value, stored.Version)
		o = o.ForNodes()
		switch {
		case err != nil || o.StoreKey() != stored.Key:
			count("objects", "invalid")
			s.cfg.Log.Error("object in the store cannot be decoded or has a wrong key", "key", stored.Key, "version", stored.Version, "error", err)
		case s.cfg.View.Apply(o):
			count("objects", "applied")
		default:
			count("objects", "known")
		}
	}
}
