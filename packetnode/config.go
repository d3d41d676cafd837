package packetnode

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"endiveflow.example/endiveflow/eventlog"
	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/routing"
	"endiveflow.example/endiveflow/watchduty"
)

const (
	// watchWait is how long the store holds a watch without changes. A watch whose connection has gone silent
	// is detected after watchWait plus storeTimeout; the sum has to stay below the time within which a
	// configuration must be in force.
	watchWait    = 1500 * time.Millisecond
	storeTimeout = 700 * time.Millisecond
	// fetchTimeout bounds a fetch of the configuration from another process.
	fetchTimeout = 500 * time.Millisecond
	// fetchSpread is the time over which the entries of a fleet spread their fetches of a newer configuration.
	// Meanwhile more processes have it and can serve it.
	fetchSpread = 150 * time.Millisecond
	// agentFetchSpread is the corresponding time for agents, which decide nothing by the configuration but how long they
	// keep idle flows. They hold it for entries that restart.
	agentFetchSpread = 3 * time.Second
	// maxPeerWait is the longest time for which an entry that has no configuration at its start waits for one of another process
	// before it reads the store. Each entry draws its own: after a start of all processes, the first ones read the store at
	// once and serve the others.
	maxPeerWait = 150 * time.Millisecond
	// fetchPause coalesces a burst of changes into fewer fetches.
	fetchPause = 50 * time.Millisecond
	// storeRetryBase and storeRetryMax space the retries while the store is unavailable. The longest pause
	// leaves most of the two seconds within which a process has to recover after an outage.
	storeRetryBase = 100 * time.Millisecond
	storeRetryMax  = time.Second
	// dutyPoll is the time between checks of whether it has become the process's duty to watch the store.
	dutyPoll = 250 * time.Millisecond
	// maxConfigBytes bounds a configuration fetched from another process.
	maxConfigBytes = 4 << 20
)

var configSources = map[string]*metrics.Counter{
	"store": metrics.NewCounter(`endiveflow_packetnode_configs_total{source="store"}`),
	"peer":  metrics.NewCounter(`endiveflow_packetnode_configs_total{source="peer"}`),
}

// configUpdater keeps the process's configuration up to date from the store and from other processes.
type configUpdater struct {
	routes *routing.Holder
	store  *platform.Client
	http   *http.Client
	// port is the port at which other processes serve their configuration.
	port uint16
	log  *eventlog.Log
	// applied is called after each newer configuration has been applied, watching whenever the process begins to watch the store; nil
	// if nothing depends on it.
	applied, watching func()
	// spread is the time over which fetches are spread, firstSpread that while the process has no configuration.
	spread, firstSpread time.Duration
	// encoded is the form in which other processes fetch the configuration.
	encoded *encodedConfig
	// newerAnnounced is signalled when a process has announced a newer configuration.
	newerAnnounced chan struct{}
	announcers     *announcers
	// duty decides when this process watches the store; set by followStore.
	duty *watchduty.Duty
	// onDuty reports whether the process watches the store. Used only by the goroutine of followStore.
	onDuty bool
	// storeLost is set while calls to the store fail. Used only by the goroutine of followStore.
	storeLost bool
}

func newConfigUpdater(u configUpdater) *configUpdater {
	u.newerAnnounced, u.announcers, u.encoded = make(chan struct{}, 1), new(announcers), new(encodedConfig)
	return &u
}

// noteNewer records that a process has announced a newer configuration.
func (u *configUpdater) noteNewer(ip uint32) {
	u.announcers.add(ip)
	signal(u.newerAnnounced)
}

// announcers are the processes that have announced a newer configuration. The one to fetch from is chosen
// at random, so that the first process to have it doesn't serve the whole fleet.
type announcers struct {
	mu sync.Mutex
	// ips holds the addresses of the processes. Guarded by mu.
	ips []uint32
}

// maxAnnouncers bounds the number of announcers that are recorded.
const maxAnnouncers = 16

func (a *announcers) add(ip uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.ips) < maxAnnouncers && !slices.Contains(a.ips, ip) {
		a.ips = append(a.ips, ip)
	}
}

// pick returns a random announcer and clears the list.
func (a *announcers) pick() (uint32, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.ips) == 0 {
		return 0, false
	}
	ip := a.ips[rand.IntN(len(a.ips))]
	a.ips = a.ips[:0]
	return ip, true
}

// apply applies a configuration if it is newer than the current one, and reports whether it is.
func (u *configUpdater) apply(table *routing.Table, source string) bool {
	before := u.routes.Version()
	if !u.routes.StoreIfNewer(table) {
		return false
	}
	configSources[source].Inc()
	u.log.Info("config", "config", table.Version, "before", before, "routes", table.Len(), "source", source)
	u.applied()
	return true
}

// followStore keeps the configuration up to date from the store, while it is this process's duty, until ctx ends.
func (u *configUpdater) followStore(ctx context.Context, duty *watchduty.Duty) <-chan error {
	done := make(chan error, 1)
	u.duty = duty
	go func() {
		u.awaitPeers(ctx)
		storeFollower{duty: duty, watch: u.watch, onDuty: u.logDuty, failed: u.logStoreLost}.run(ctx)
		done <- nil
	}()
	return done
}

// logDuty records whether the process watches the store, and logs each change.
func (u *configUpdater) logDuty(onDuty bool) {
	if u.onDuty != onDuty {
		u.onDuty = onDuty
		u.log.Info("watch", "name", "store", "onDuty", onDuty, "config", u.routes.Version())
	}
}

// awaitPeers waits until another process has given this one a configuration, for a random time of at most maxPeerWait.
func (u *configUpdater) awaitPeers(ctx context.Context) {
	for range rand.N(maxPeerWait) / peerWaitPoll {
		if ctx.Err() != nil || u.routes.Current() != nil {
			return
		}
		sleep(ctx, peerWaitPoll)
	}
}

// peerWaitPoll is the time between checks of awaitPeers.
const peerWaitPoll = 10 * time.Millisecond

func (u *configUpdater) logStoreLost(err error) {
	if !u.storeLost {
		u.storeLost = true
		u.log.Warn("dependency", "name", "store", "outcome", "lost", "error", err.Error(), "config", u.routes.Version())
	}
}

func (u *configUpdater) logStoreRegained() {
	if u.storeLost {
		u.storeLost = false
		u.log.Info("dependency", "name", "store", "outcome", "regained", "config", u.routes.Version())
	}
}

// watch reads the configuration and watches it for changes until a call fails or the duty ends, which is no error. The watch continues
// from the revision of the store that the list was read at: that of the object may be older than the store's history.
func (u *configUpdater) watch(ctx context.Context, onSuccess func()) error {
	l, err := u.store.List(ctx, platform.RoutesPrefix, platform.Current)
	if err != nil {
		return fmt.Errorf("reading the configuration: %w", err)
	}
	if !u.applyListed(l) {
		// There is no configuration yet. Only the entries on duty ask again.
		u.duty.Answered(0)
		return fmt.Errorf("reading the configuration: %w", errors.NotFoundf("object %s", platform.RoutesKey))
	}
	onSuccess()
	u.logStoreRegained()
	if u.watching != nil {
		u.watching()
	}
	for after := l; u.duty.Watches(); {
		l, err := u.store.Watch(ctx, platform.RoutesPrefix, after)
		if err != nil {
			return fmt.Errorf("watching the configuration: %w", err)
		}
		onSuccess()
		u.applyListed(l)
		after = l
	}
	return nil
}

// applyListed applies the configuration among listed objects, and reports whether there is one.
func (u *configUpdater) applyListed(l platform.Listing) bool {
	found := false
	for _, o := range l.Objects {
		if o.Key == platform.RoutesKey {
			u.applyObject(o)
			found = true
		}
	}
	return found
}

// applyObject applies an object of the store. If it can't be decoded, the last valid configuration stays in
// force.
func (u *configUpdater) applyObject(o platform.Object) {
	table, problems, err := platform.DecodeRoutes(o.Value)
	if err != nil {
		u.log.Error("cannot decode configuration", "revision", o.Version, "config", u.routes.Version(), "error", err.Error())
		return
	}
	if !u.apply(table, "store") {
		return
	}
	for _, p := range problems {
		u.log.Error("skipped invalid route", "config", table.Version, "error", p.Error())
	}
}

// fetchFromPeers fetches announced configurations from other processes until ctx ends.
func (u *configUpdater) fetchFromPeers(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		for {
			select {
			case <-ctx.Done():
				return
			case <-u.newerAnnounced:
				spread := u.spread
				if u.routes.Current() == nil {
					spread = u.firstSpread
				}
				sleep(ctx, time.Duration(rand.Int64N(int64(spread)+1)))
				ip, ok := u.announcers.pick()
				if !ok {
					continue
				}
				if err := u.fetch(ctx, ip); err != nil && ctx.Err() == nil {
					u.log.Warn("cannot fetch configuration", "from", flow.Endpoint{IP: ip}.Addr().String(), "config", u.routes.Version(), "error", err.Error())
				}
				sleep(ctx, fetchPause)
			}
		}
	}()
	return done
}

func (u *configUpdater) fetch(ctx context.Context, ip uint32) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := "http://" + flow.Endpoint{IP: ip, Port: u.port}.String() + configPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fmt.Errorf("building the request: %w", err)
	}
	req.Header.Set("Accept", routing.ContentType)
	res, err := u.http.Do(req)
	if err != nil {
		return fmt.Errorf("fetching the configuration: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxConfigBytes))
	if err != nil {
		return fmt.Errorf("reading the configuration: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("fetching the configuration: status %d", res.StatusCode)
	}
	table, err := routing.Decode(body)
	if err != nil {
		return fmt.Errorf("fetching the configuration: %w", err)
	}
	if u.apply(table, "peer") {
		u.encoded.keep(table, body)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
