package packetnode

import (
	"context"
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"endiveflow.example/endiveflow/evacuation"
	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/watchduty"
)

var evacuationChanges = metrics.NewCounter(`endiveflow_packetnode_evacuation_changes_total`)

// evacuationWatch follows the evacuations of the store.
type evacuationWatch struct {
	store *platform.Client
	duty  *watchduty.Duty
	// current returns the newest known state; read is called with each one that was read.
	current func() evacuation.State
	read    func(evacuation.State)
	log     *eventlog.Log
}

func (w evacuationWatch) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		storeFollower{duty: w.duty, watch: w.watch, onDuty: func(bool) {}, failed: func(err error) {
			if w.log.AllowRare() {
				w.log.Warn("cannot read evacuations", "revision", w.current().Revision, "error", err.Error())
			}
		}}.run(ctx)
		done <- nil
	}()
	return done
}

// watch lists the evacuations and watches them for changes until a call fails, the store was restored, or the duty ends.
func (w evacuationWatch) watch(ctx context.Context, answered func()) error {
	l, err := w.store.List(ctx, platform.EvacuationsPrefix, platform.Current)
	if err != nil {
		return fmt.Errorf("listing evacuations: %w", err)
	}
	answered()
	w.read(w.current().WithListed(l.Era, l.Revision, evacuatedZones(keysOf(l.Objects))))
	for after := l; w.duty.Watches(); {
		l, err := w.store.Watch(ctx, platform.EvacuationsPrefix, after)
		if err != nil {
			return fmt.Errorf("watching evacuations: %w", err)
		}
		answered()
		state := w.current()
		if state.Era != l.Era {
			// Another process has read a newer era.
			return nil
		}
		if len(l.Objects)+len(l.Deleted) > 0 {
			w.read(state.WithChanges(l.Revision, evacuatedZones(keysOf(l.Objects)), evacuatedZones(l.Deleted)))
		}
		after = l
	}
	return nil
}

func keysOf(objects []platform.Object) []string {
	keys := make([]string, len(objects))
	for i, o := range objects {
		keys[i] = o.Key
	}
	return keys
}

// evacuatedZones returns the zones of the keys of evacuations.
func evacuatedZones(keys []string) []string {
	zones := make([]string, len(keys))
	for i, key := range keys {
		zones[i] = strings.TrimPrefix(key, platform.EvacuationsPrefix)
	}
	return zones
}
