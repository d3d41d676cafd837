package packetnode

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
)

// routeRecordKey is the key of the route record: the services at which flows of each route may be open. After a route has moved to
// another service, the configuration no longer tells where its open flows are, and entries that all restart have forgotten it.
//
// The record has the services of the last configuration that was seen, too. Those that a newer configuration drops are
// former services, even if all entries ended before they recorded that.
const routeRecordKey = "endiveflow-routes/services"

const (
	// recordDelay is the time after a change of the configuration after which the first entry writes the record. Changes in quick
	// succession are recorded together.
	recordDelay = 100 * time.Millisecond
	// recordTurn is the time that each entry gives the one before it, in the order of their addresses' ranks, to write the record and to
	// report that.
	recordTurn = time.Second
	// recordPause is the minimum time between two writes of an entry.
	recordPause = time.Second
	// recordRetryMax is the longest pause between attempts while the store is unavailable.
	recordRetryMax = 5 * time.Second
	// formerServiceAge is the time after which a former service has no flows, with a margin. The record is written again then.
	formerServiceAge = 65 * time.Second
)

var (
	routeRecordsWritten = metrics.NewCounter(`endiveflow_packetnode_route_records_written_total`)
	routeRecordsRead    = metrics.NewCounter(`endiveflow_packetnode_route_records_read_total`)
)

// routeRecorder keeps the route record in the store up to date, and reads it once while the entry is on duty to watch the store.
type routeRecorder struct {
	store *platform.Client
	log   *eventlog.Log
	// version returns the version of the current configuration.
	version func() uint64
	// record, hasFormer and read are Entry.RouteRecord, Entry.HasFormerServices and Entry.RouteRecordRead.
	record    func() *routing.Table
	hasFormer func() bool
	read      func(*routing.Table)
	// entriesBefore returns the number of entries that write the record before this one.
	entriesBefore func() int
	// onDuty is signalled when the entry begins to watch the store, changed after each newer configuration and after a restore of the
	// store.
	onDuty, changed chan struct{}
	// recorded is what this entry and others know of the record.
	recorded *recordedVersion

	// The fields below are used only by the goroutine of run. base is the object that was read or written last, 0 if there was none,
	// stored its table; both hold for era if known is set.
	known  bool
	base   uint64
	era    uint64
	stored *routing.Table
	// expiry is when the record may have services without flows.
	expiry <-chan time.Time
}

// recordedVersion is the newest version of the configuration that the route record is known to cover.
type recordedVersion struct {
	mu sync.Mutex
	// version holds for era. Guarded by mu.
	era, version uint64
}

// note records that the record covers a version in an era of the store. What it covered in an earlier era may have been lost.
func (v *recordedVersion) note(era, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case era > v.era:
		v.era, v.version = era, version
	case era == v.era:
		v.version = max(v.version, version)
	}
}

// in returns the version that the record covers in an era of the store, which may be unknown, or 0 if none is known.
func (v *recordedVersion) in(era uint64) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if era != 0 && era != v.era {
		return 0
	}
	return v.version
}

// run maintains the record until ctx ends.
func (r *routeRecorder) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		backoff := platform.Backoff{Base: storeRetryBase, Max: recordRetryMax}
		for step := r.await(ctx); ctx.Err() == nil; step = r.await(ctx) {
			for failures := 0; ctx.Err() == nil; {
				err := step(ctx)
				if err == nil {
					break
				}
				if failures++; failures == 1 && ctx.Err() == nil {
					r.log.Warn("cannot synchronize the route record with the store", "error", err.Error())
				}
				_ = backoff.Wait(ctx, failures)
			}
		}
	}()
	return done
}

// await waits until there is something to do and returns it.
func (r *routeRecorder) await(ctx context.Context) func(context.Context) error {
	select {
	case <-ctx.Done():
	case <-r.onDuty:
		return r.readOnce
	case <-r.changed:
		r.awaitTurn(ctx)
		return r.update
	case <-r.expiry:
		r.expiry = nil
		return r.removeExpired
	}
	return nil
}

// awaitTurn waits until it is the entry's turn to write the record, or until another one has.
func (r *routeRecorder) awaitTurn(ctx context.Context) {
	sleep(ctx, recordDelay)
	for waited := time.Duration(0); waited < time.Duration(r.entriesBefore())*recordTurn && ctx.Err() == nil && !r.isCovered(); waited += dutyPoll {
		select {
		case <-r.onDuty:
			// The record must be read without delay, as open flows may wait for it.
			_ = r.readOnce(ctx)
		default:
		}
		sleep(ctx, dutyPoll)
	}
}

// isCovered reports whether the record covers the current configuration, as far as the entry knows.
func (r *routeRecorder) isCovered() bool { return r.version() <= r.recorded.in(r.store.Era()) }

// readOnce reads the record unless it is known.
func (r *routeRecorder) readOnce(ctx context.Context) error {
	if r.known && r.era == r.store.Era() {
		return nil
	}
	o, err := r.store.Get(ctx, routeRecordKey)
	switch {
	case errors.Is(err, errors.NotFound):
		r.known, r.base, r.era, r.stored = true, 0, r.store.Era(), nil
		return nil
	case err != nil:
		return fmt.Errorf("reading the route record: %w", err)
	}
	table, err := decodeRouteRecord(o.Value)
	if err != nil {
		// What another writer left is replaced.
		r.log.Warn("cannot decode route record", "key", o.Key, "revision", o.Version, "error", err.Error())
	}
	r.known, r.base, r.era, r.stored = true, o.Version, o.Era, table
	if table != nil {
		routeRecordsRead.Inc()
		r.read(table)
		r.recorded.note(r.era, table.Version)
	}
	return nil
}

// update writes the record if it lacks services of the current configuration, or former ones.
func (r *routeRecorder) update(ctx context.Context) error {
	if !r.isCovered() {
		if err := r.readOnce(ctx); err != nil {
			return err
		}
	}
	if r.known && r.expiry == nil && r.hasFormer() {
		r.expiry = time.After(formerServiceAge + time.Duration(r.entriesBefore())*recordTurn)
	}
	if r.isCovered() {
		return nil
	}
	record := r.record()
	if record == nil {
		return nil
	}
	if r.stored.Covers(record) {
		r.recorded.note(r.era, record.Version)
		return nil
	}
	return r.write(ctx, record)
}

// removeExpired writes the record again if it has services that have no flows any more.
func (r *routeRecorder) removeExpired(ctx context.Context) error {
	if err := r.readOnce(ctx); err != nil {
		return err
	}
	record := r.record()
	if record == nil {
		return nil
	}
	if r.hasFormer() {
		r.expiry = time.After(formerServiceAge)
	}
	if record.Covers(r.stored) && r.stored.Covers(record) {
		return nil
	}
	return r.write(ctx, record)
}

// write writes the record on the condition that it has not changed since it was read.
func (r *routeRecorder) write(ctx context.Context, record *routing.Table) error {
	value, err := encodeRouteRecord(record)
	if err != nil {
		return err
	}
	revision, err := r.store.Put(ctx, routeRecordKey, value, r.base)
	if errors.Is(err, errors.NotValid) {
		r.log.Error("cannot write route record", "config", record.Version, "routes", record.Len(), "error", err.Error())
		return nil
	}
	if err != nil {
		// Another entry wrote it, or the outcome is unclear.
		r.known = false
		return fmt.Errorf("writing the route record: %w", err)
	}
	r.base, r.stored = revision, record
	r.recorded.note(r.era, record.Version)
	routeRecordsWritten.Inc()
	r.log.Info("route record written", "config", record.Version, "revision", revision, "routes", record.Len(), "bytes", len(value))
	sleep(ctx, recordPause)
	return nil
}

func encodeRouteRecord(record *routing.Table) ([]byte, error) {
	routes, err := record.Encode()
	if err != nil {
		return nil, fmt.Errorf("encoding the route record: %w", err)
	}
	value, err := json.Marshal(struct {
		Version uint64 `json:"version"`
		Routes  []byte `json:"routes"`
	}{record.Version, routes})
	if err != nil {
		return nil, fmt.Errorf("encoding the route record: %w", err)
	}
	return value, nil
}

func decodeRouteRecord(value []byte) (*routing.Table, error) {
	var encoded struct {
		Routes []byte `json:"routes"`
	}
	if err := json.Unmarshal(value, &encoded); err != nil {
		return nil, fmt.Errorf("decoding the route record: %w", err)
	}
	table, err := routing.Decode(encoded.Routes)
	if err != nil {
		return nil, fmt.Errorf("decoding the route record: %w", err)
	}
	return table, nil
}
