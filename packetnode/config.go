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
)

const (
	// watchWait is how long a watch waits for a change. A watch whose connection
	// went silent is noticed after watchWait and storeTimeout, which together
	// stay below the time in which a configuration has to be in force.
	watchWait    = 1500 * time.Millisecond
	storeTimeout = 700 * time.Millisecond
	// fetchTimeout bounds the fetch of the configuration from another process.
	fetchTimeout = 500 * time.Millisecond
	// fetchSpread is the time over which the processes of a fleet fetch a newer
	// configuration. Meanwhile more of them have it and can be asked.
	fetchSpread = 150 * time.Millisecond
	// fetchPause keeps a burst of changes from being fetched one by one.
	fetchPause = 50 * time.Millisecond
	// storeRetryBase and storeRetryMax pace calls to a store that is away. The
	// longest pause leaves most of two seconds to be back after an outage.
	storeRetryBase = 100 * time.Millisecond
	storeRetryMax  = time.Second
	// maxConfigBytes bounds a configuration from another process.
	maxConfigBytes = 4 << 20
)

var configSources = map[string]*metrics.Counter{
	"store": metrics.NewCounter(`endiveflow_packetnode_configs_total{source="store"}`),
	"peer":  metrics.NewCounter(`endiveflow_packetnode_configs_total{source="peer"}`),
}

// configKeeper keeps the newest configuration that the store or another process has.
type configKeeper struct {
	routes *routing.Holder
	store  *platform.Client
	http   *http.Client
	// port is where other processes serve their configuration.
	port uint16
	log  *eventlog.Log
	// applied is called after each newer configuration.
	applied func()
	// behind says that announcers have a newer one.
	behind     chan struct{}
	announcers *announcers
	// away says that the last call to the store failed; used by follow only.
	away bool
}

func newConfigKeeper(k configKeeper) *configKeeper {
	k.behind, k.announcers = make(chan struct{}, 1), new(announcers)
	return &k
}

// newerAt notes that a process has a newer configuration.
func (k *configKeeper) newerAt(ip uint32) {
	k.announcers.add(ip)
	signal(k.behind)
}

// announcers are the processes that said that they have a newer configuration.
// Which of them is asked is random: the first one to have it must not serve the fleet.
type announcers struct {
	mu sync.Mutex
	// ips is guarded by mu.
	ips []uint32
}

// maxAnnouncers bounds those that are remembered.
const maxAnnouncers = 16

func (a *announcers) add(ip uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.ips) < maxAnnouncers && !slices.Contains(a.ips, ip) {
		a.ips = append(a.ips, ip)
	}
}

// take returns one of them and forgets all.
func (a *announcers) take() (uint32, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.ips) == 0 {
		return 0, false
	}
	ip := a.ips[rand.IntN(len(a.ips))]
	a.ips = a.ips[:0]
	return ip, true
}

// apply takes a configuration in, if it is newer.
func (k *configKeeper) apply(encoded []byte, source string) error {
	table, problems, err := platform.DecodeRoutes(encoded)
	if err != nil {
		return fmt.Errorf("reading the configuration from the %s: %w", source, err)
	}
	before := k.routes.Version()
	if !k.routes.Offer(table) {
		return nil
	}
	configSources[source].Inc()
	for _, p := range problems {
		k.log.Error("route left out", "config", table.Version, "error", p.Error())
	}
	k.log.Info("config", "config", table.Version, "before", before, "routes", table.Len(), "source", source)
	k.applied()
	return nil
}

// follow follows the store until ctx ends.
func (k *configKeeper) follow(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		backoff := platform.Backoff{Base: storeRetryBase, Max: storeRetryMax}
		failures := 0
		for ctx.Err() == nil {
			err := k.watch(ctx, func() { failures = 0 })
			if ctx.Err() != nil {
				break
			}
			if errors.Is(err, platform.Compacted) {
				continue
			}
			failures++
			k.storeAway(err)
			if backoff.Wait(ctx, failures) != nil {
				break
			}
		}
		done <- nil
	}()
	return done
}

func (k *configKeeper) storeAway(err error) {
	if !k.away {
		k.away = true
		k.log.Warn("dependency", "name", "store", "outcome", "lost", "error", err.Error(), "config", k.routes.Version())
	}
}

func (k *configKeeper) storeBack() {
	if k.away {
		k.away = false
		k.log.Info("dependency", "name", "store", "outcome", "regained", "config", k.routes.Version())
	}
}

// watch reads the configuration and follows its changes until a call fails.
func (k *configKeeper) watch(ctx context.Context, progress func()) error {
	o, err := k.store.Get(ctx, platform.RoutesKey)
	if err != nil {
		return fmt.Errorf("reading the configuration: %w", err)
	}
	progress()
	k.storeBack()
	k.take(o)
	for after := o.Version; ; {
		l, err := k.store.Watch(ctx, platform.RoutesPrefix, after)
		if err != nil {
			return fmt.Errorf("watching the configuration: %w", err)
		}
		progress()
		for _, o := range l.Objects {
			if o.Key == platform.RoutesKey {
				k.take(o)
			}
		}
		after = max(after, l.Revision)
	}
}

// take applies an object of the store; one that can't be read leaves the last good one in force.
func (k *configKeeper) take(o platform.Object) {
	if err := k.apply(o.Value, "store"); err != nil {
		k.log.Error("configuration is not readable", "revision", o.Version, "config", k.routes.Version(), "error", err.Error())
	}
}

// catchUp fetches the configuration from processes that have a newer one until ctx ends.
func (k *configKeeper) catchUp(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		for {
			select {
			case <-ctx.Done():
				return
			case <-k.behind:
				if k.routes.Current() != nil {
					pause(ctx, time.Duration(rand.Int64N(int64(fetchSpread))))
				}
				ip, ok := k.announcers.take()
				if !ok {
					continue
				}
				if err := k.fetch(ctx, ip); err != nil && ctx.Err() == nil {
					k.log.Warn("configuration not fetched", "from", flow.Endpoint{IP: ip}.Addr().String(), "config", k.routes.Version(), "error", err.Error())
				}
				pause(ctx, fetchPause)
			}
		}
	}()
	return done
}

func (k *configKeeper) fetch(ctx context.Context, ip uint32) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := "http://" + flow.Endpoint{IP: ip, Port: k.port}.String() + configPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fmt.Errorf("building the request: %w", err)
	}
	res, err := k.http.Do(req)
	if err != nil {
		return fmt.Errorf("asking for the configuration: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxConfigBytes))
	if err != nil {
		return fmt.Errorf("reading the configuration: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("asked for the configuration, got status %d", res.StatusCode)
	}
	return k.apply(body, "peer")
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
