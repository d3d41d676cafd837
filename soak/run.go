package soak

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/packettest"
	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/standin"
)

// run is the state of one run.
type run struct {
	cfg       Config
	network   [2]byte
	random    *rand.Rand
	startedAt time.Time
	store     *standin.Platform
	client    *platform.Client
	proxy     *proxy
	entries   []*process
	agents    []*process
	hosts     []*host
	// parts report the end of the goroutines that run until the end of the run.
	parts []<-chan error
	// finished is set at the end of the run, when processes may be killed.
	finished atomic.Bool
	// operator serializes the changes of evacuations. It is locked before mu.
	operator sync.Mutex

	mu sync.Mutex
	// The fields below are guarded by mu.
	report Report
	// inRotation holds the entries that passed their readiness checks.
	inRotation []*process
	// sentPackets holds the packets that callers sent and when, without the fields that the system writes; lastEntries the
	// entry that each flow's last one went to.
	sentPackets map[string]time.Time
	lastEntries map[flow.Key]*process
	// open holds the open flows whose route has not been removed.
	open map[flow.Key]*openFlow
	// joined holds the hosts that joined during the run, with those that left.
	joined []*host
	// configVersion is the version of the configuration written last, configured what it has.
	configVersion uint64
	configured    configuration
	// evacuated is the current evacuation, nil if there is none. storeChangedAt is when the state of the store or of the
	// connections to it last changed, allKilledAt when all processes were last killed.
	evacuated                   *evacuation
	storeChangedAt, allKilledAt time.Time
	// routeDroppedAt is when the toggled route was removed; zero while it exists. routeMovedAt is when the moved route was last led to
	// another service.
	routeDroppedAt, routeMovedAt time.Time
}

// Run executes a soak run and returns its report. Violated guarantees are in the report, not in the error.
func Run(ctx context.Context, cfg Config) (Report, error) {
	r := &run{cfg: cfg.withDefaults(), sentPackets: make(map[string]time.Time), lastEntries: make(map[flow.Key]*process), open: make(map[flow.Key]*openFlow)}
	r.random = rand.New(rand.NewPCG(r.cfg.Seed, 0))
	// A random network separates concurrent runs on one machine.
	r.network = [2]byte{byte(16 + rand.IntN(200)), byte(rand.IntN(256))}
	r.report.Seed = r.cfg.Seed
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := r.start(ctx); err != nil {
		return r.report, err
	}
	r.runScenario(ctx)
	r.finished.Store(true)
	cancel()
	var err error
	for _, done := range r.parts {
		err = errors.Join(err, <-done)
	}
	return r.report, err
}

// start starts the store, the proxy, the hosts and the processes, which run until ctx ends.
func (r *run) start(ctx context.Context) error {
	r.store = standin.NewPlatform(standin.PlatformConfig{Address: "127.0.0.1:0"})
	done, err := r.store.Run(ctx)
	if err != nil {
		return fmt.Errorf("starting the store: %w", err)
	}
	r.parts = append(r.parts, done)
	if r.client, err = platform.New(platform.Config{URL: "http://" + r.store.Addr().String()}); err != nil {
		return fmt.Errorf("opening the store: %w", err)
	}
	if r.proxy, err = newProxy(ctx, r.store.Addr().String()); err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = r.proxy.listener.Close() })
	r.parts = append(r.parts, r.proxy.serve(ctx))
	if err := r.configure(ctx, configuration{withToggled: true, movedService: packettest.FirstService}); err != nil {
		return err
	}
	if err := r.storeMalformedObjects(ctx); err != nil {
		return err
	}
	for n := range r.cfg.Hosts {
		service := packettest.FirstService
		if n >= r.cfg.Hosts-max(r.cfg.Hosts/4, 1) {
			service = packettest.SecondService
		}
		h, err := r.addHost(ctx, n, service, 0, 0)
		if err != nil {
			return err
		}
		r.agents, r.hosts = append(r.agents, h.agent), append(r.hosts, h)
	}
	for n := range r.cfg.Entries {
		p, err := r.newProcess("entry", r.address(entryKind, n), r.cfg.zone(n), "")
		if err != nil {
			return err
		}
		p.program = cmp.Or(r.cfg.FormerProgram, r.cfg.Program)
		r.entries = append(r.entries, p)
		r.parts = append(r.parts, p.supervise(ctx, 0))
	}
	r.parts = append(r.parts, r.maintainRotation(ctx))
	return nil
}

// addHost starts the nth host and its agent after the given delays.
func (r *run) addHost(ctx context.Context, n int, service string, hostDelay, agentDelay time.Duration) (*host, error) {
	p, err := r.newProcess("agent", r.address(hostKind, n), r.cfg.zone(n), service)
	if err != nil {
		return nil, err
	}
	if n < r.cfg.Hosts {
		p.program = cmp.Or(r.cfg.FormerProgram, r.cfg.Program)
	}
	h, err := r.newHost(ctx, p, r.cfg.zone(n), service)
	if err != nil {
		return nil, err
	}
	time.AfterFunc(hostDelay, h.restart)
	r.parts = append(r.parts, h.serve(), h.sendHeartbeats(ctx), p.supervise(ctx, agentDelay))
	return h, nil
}

// storeMalformedObjects stores what another writer may leave among the objects that processes read.
func (r *run) storeMalformedObjects(ctx context.Context) error {
	for key, value := range map[string]string{
		"endiveflow-members/malformed":        `{"role":"agent","ip":"10.0.0.300"}`,
		"endiveflow-members/agent-10.0.0.9:x": `{"role":"agent","ip":"10.0.0.9:70000","zone":[[[[1e400]]]]}`,
		"endiveflow-members/entry-10.0.0.8":   `"` + strings.Repeat("[", 4000) + `"`,
		"evacuations/~malformed":              `{"zone":1e400}`,
	} {
		if _, err := r.client.Put(ctx, key, []byte(value), 0); err != nil {
			return fmt.Errorf("storing a malformed object: %w", err)
		}
	}
	return nil
}

// restoreStore brings the store back from a copy that lacks its last writes, and writes the configuration again
// as the operator does. It reports whether that succeeded.
func (r *run) restoreStore(ctx context.Context, lostWrites uint64) bool {
	revision := r.store.Revision()
	r.store.Restore(revision - min(lostWrites, revision))
	r.setOutage(false)
	for range restoreAttempts {
		if r.configure(ctx, r.currentConfiguration()) == nil && r.rewriteEvacuation(ctx) == nil {
			return true
		}
		time.Sleep(restorePause)
	}
	return false
}

const (
	// restoreAttempts and restorePause are the number of attempts to write the configuration after a restore and
	// the time between them. Together they exceed the longest overlapping outage.
	restoreAttempts = 50
	restorePause    = 100 * time.Millisecond
)

// maintainRotation checks the readiness of entries like the platform's routers: two failed checks take an
// entry out of rotation.
func (r *run) maintainRotation(ctx context.Context) <-chan error {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	return background(func() {
		misses := make(map[netip.Addr]int)
		for ctx.Err() == nil {
			var ready []*process
			for _, p := range r.entries {
				if misses[p.ip]++; isReady(ctx, client, p.ip) {
					misses[p.ip] = 0
				}
				if misses[p.ip] < 2 {
					ready = append(ready, p)
				}
			}
			r.mu.Lock()
			r.inRotation = ready
			r.mu.Unlock()
			select {
			case <-ctx.Done():
			case <-time.After(500 * time.Millisecond):
			}
		}
	})
}

func isReady(ctx context.Context, client *http.Client, ip netip.Addr) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/ready", netip.AddrPortFrom(ip, readyPort)), http.NoBody)
	if err != nil {
		return false
	}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// nextEntry returns the entry that receives the next packet of a flow. For half of the flows it is chosen by a hash over
// the entries in rotation, like the routers do, for the others at random, so that many entries have to find a flow.
func (r *run) nextEntry(key flow.Key) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := r.inRotation
	if len(entries) == 0 {
		entries = r.entries
	}
	if key.Caller.Port/16%2 == 0 {
		return entries[key.Hash()%uint64(len(entries))]
	}
	return entries[rand.IntN(len(entries))]
}

// background runs f on a goroutine and returns the channel that reports its end.
func background(f func()) <-chan error {
	done := make(chan error, 1)
	go func() {
		f()
		done <- nil
	}()
	return done
}

// runScenario sends load and injects faults.
func (r *run) runScenario(ctx context.Context) {
	c, err := r.newCallerVM(ctx)
	if err != nil {
		r.fail("%v", err)
		return
	}
	callersDone := c.serve()
	r.awaitReady(ctx)
	r.startedAt = time.Now()
	faults := []<-chan error{r.injectFaults(ctx)}
	if r.cfg.Series {
		faults = append(faults, r.injectSeries(ctx), r.joinHosts(ctx))
	}
	if r.cfg.Evacuations {
		faults = append(faults, r.injectEvacuations(ctx))
	}
	if r.cfg.MassFailures {
		faults = append(faults, r.injectMassFailures(ctx))
	}
	if r.cfg.Moves {
		faults = append(faults, r.injectMoves(ctx))
	}
	until := r.startedAt.Add(r.cfg.FaultTime + r.cfg.SettleTime)
	ticker := time.NewTicker(time.Second / time.Duration(r.cfg.FlowsPerSecond))
	defer ticker.Stop()
	var flows sync.WaitGroup
	for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
		<-ticker.C
		key := packettest.Key(n)
		key.Caller.IP = flow.EndpointOf(netip.AddrPortFrom(c.ip, 0)).IP
		switch {
		case n%4 == 0:
			key.Service = toggledRouteAddr
		case n%4 == 1 && r.cfg.Moves:
			key.Service = movedRouteAddr
		}
		flows.Go(func() { c.runFlow(ctx, key, until) })
	}
	for _, done := range faults {
		err = errors.Join(err, <-done)
	}
	flows.Wait()
	_ = c.conn.Close()
	if err = errors.Join(err, <-callersDone); err != nil {
		r.fail("%v", err)
	}
	r.checkRecovery()
}

func (r *run) awaitReady(ctx context.Context) {
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		r.mu.Lock()
		ready := len(r.inRotation)
		r.mu.Unlock()
		if ready == len(r.entries) {
			// Hosts have sent their first heartbeat within two intervals.
			time.Sleep(2 * heartbeatInterval)
			return
		}
	}
	r.fail("the entries did not become ready")
}

func (r *run) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failLocked(format, args...)
}

// failLocked is fail while r.mu is held.
func (r *run) failLocked(format string, args ...any) {
	text := fmt.Sprintf("%.3f s: ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	r.report.Failures = append(r.report.Failures, text)
	_, _ = fmt.Fprintln(r.cfg.Out, "FAILED:", text)
}

// recordRequest counts a request. Requests on the toggled route aren't counted, since they may go unanswered, nor are those on the moved
// route: the second service has few hosts, which may all be in evacuated zones.
func (r *run) recordRequest(key flow.Key, sent time.Time, answered bool) {
	if key.Service == toggledRouteAddr || key.Service == movedRouteAddr {
		return
	}
	latency := time.Since(sent)
	r.mu.Lock()
	defer r.mu.Unlock()
	n := int(sent.Sub(r.startedAt) / time.Second)
	for len(r.report.Seconds) <= n {
		r.report.Seconds = append(r.report.Seconds, Second{})
	}
	s := &r.report.Seconds[n]
	switch {
	case !answered:
		s.Failed++
	case latency > lateAfter:
		s.Answered++
		s.Late++
	default:
		s.Answered++
	}
}

// withoutMarks returns the packet without the fields that the system may write.
func withoutMarks(packet []byte) string {
	b := bytes.Clone(packet)
	platform.ClearMarks(b)
	return string(b)
}

func (r *run) recordSent(key flow.Key, packet []byte, entry *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastEntries[key] = entry
	r.sentPackets[withoutMarks(packet)] = time.Now()
}
