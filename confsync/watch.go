package confsync

import (
	"context"
	"fmt"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/platform"
)

// runWatch lists the configuration and then follows its changes. After any
// failure it lists again: the store may have been restored or have dropped
// changes meanwhile.
func (s *Sync) runWatch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := s.follow(ctx, func() { failures = 0 })
		if ctx.Err() != nil {
			return
		}
		failures++
		s.cfg.Log.Warn("store not readable, serving with the known configuration", "failures", failures, "error", err)
		if s.cfg.Backoff.Wait(ctx, failures) != nil {
			return
		}
	}
}

// follow lists and watches until a call fails. It calls progress after each
// call that succeeded.
func (s *Sync) follow(ctx context.Context, progress func()) error {
	l, err := s.cfg.Client.List(ctx, config.StorePrefix, platform.Current)
	count("lists", resultOf(err))
	if err != nil {
		return fmt.Errorf("listing the configuration: %w", err)
	}
	s.apply(l)
	progress()
	after := l.Revision
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
		progress()
		// A stale answer does not take the watch back.
		after = max(after, l.Revision)
	}
}

// apply takes the objects of a listing into the view. An object that cannot be
// read is passed over, so that it does not hold up the others.
func (s *Sync) apply(l platform.Listing) {
	for _, stored := range l.Objects {
		o, err := config.DecodeValue(stored.Value, stored.Version)
		o = o.ForNodes()
		switch {
		case err != nil || o.StoreKey() != stored.Key:
			count("objects", "invalid")
			s.cfg.Log.Error("object in the store is not usable", "key", stored.Key, "version", stored.Version, "error", err)
		case s.cfg.View.Apply(o):
			count("objects", "applied")
		default:
			count("objects", "known")
		}
	}
}
