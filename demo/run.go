package demo

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/node"
)

// Config configures a run of the demo.
type Config struct {
	// EventInterval is the time between two events of the run; 0 means DefaultEventInterval.
	EventInterval time.Duration
	// Log is the logger of the processes; nil means slog.Default.
	Log *slog.Logger
	// Progress is called with a description of each event; it may be nil.
	Progress func(string)
}

const (
	// DefaultEventInterval is short enough for the whole run to take less than 20 s.
	DefaultEventInterval = 2 * time.Second
	// drainTimeout is how long the upstream may still get new work after its drain was accepted.
	drainTimeout = 2 * time.Second
	// maxProblems is the maximum number of problems in a report.
	maxProblems = 5
	entries     = 3
	entryGrace  = time.Second
	rotaFlows   = 60
	drawsFlows  = 30
	think       = 30 * time.Millisecond
)

// services returns the services of the Okanagan region at reduced size.
func services() []ServiceConfig {
	return []ServiceConfig{
		{Name: "rota", Hosts: 3, Slots: 4, WorkTimes: map[string]time.Duration{"/slots": 3 * time.Millisecond, "/claims": 3 * time.Millisecond}},
		{
			Name: "draws", Hosts: 2, Slots: 4, LongPrefixes: []string{"/draw-sheets"},
			WorkTimes: map[string]time.Duration{"/draws": 3 * time.Millisecond, "/draw-sheets": 150 * time.Millisecond},
		},
	}
}

func loads() []LoadConfig {
	return []LoadConfig{
		{Service: "rota", Flows: rotaFlows, ThinkTime: think, Operations: []Operation{
			{Method: http.MethodGet, Path: "/slots/tonight", Share: 0.9},
			{Method: http.MethodPost, Path: "/claims", Share: 0.1},
		}},
		{Service: "draws", Flows: drawsFlows, ThinkTime: think, Operations: []Operation{
			{Method: http.MethodGet, Path: "/draws/today", Share: 0.97},
			{Method: http.MethodGet, Path: "/draw-sheets/season", Share: 0.03, Long: true},
		}},
	}
}

// Run runs the demo.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.EventInterval <= 0 {
		cfg.EventInterval = DefaultEventInterval
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	if cfg.Progress == nil {
		cfg.Progress = func(string) {}
	}
	cfg.Progress("starting platform, fabric, entries, agents and upstreams")
	fleet, err := NewFleet(ctx, FleetConfig{Services: services(), Entries: entries, ShutdownGrace: entryGrace, Log: cfg.Log})
	if err != nil {
		return Report{}, err
	}
	defer fleet.Close()
	return run(ctx, cfg, fleet)
}

func run(ctx context.Context, cfg Config, fleet *Fleet) (Report, error) {
	var ids atomic.Uint64
	seen := newResults()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var running []*load
	report := Report{EntriesReplaced: entries}
	cfg.Progress("opening flows and sending requests")
	for _, l := range loads() {
		running = append(running, startLoad(loadCtx, fleet, l, seen, &ids))
		report.Flows += l.Flows
	}
	for _, l := range running {
		l.opened.Wait()
	}
	err := events(ctx, cfg, fleet, &report)
	stopLoad()
	for _, l := range running {
		l.ended.Wait()
	}
	if err != nil {
		return report, err
	}
	fillReport(&report, fleet, seen)
	return report, nil
}

// events runs the events of the demo: it replaces the entries and drains a host while requests run.
func events(ctx context.Context, cfg Config, fleet *Fleet, report *Report) error {
	if err := node.Sleep(ctx, cfg.EventInterval); err != nil {
		return fmt.Errorf("waiting: %w", err)
	}
	cfg.Progress("replacing every entry")
	if err := fleet.ReplaceEntries(ctx); err != nil {
		return fmt.Errorf("replacing entries: %w", err)
	}
	if err := node.Sleep(ctx, cfg.EventInterval); err != nil {
		return fmt.Errorf("waiting: %w", err)
	}
	report.Imbalance = imbalance(fleet)
	cfg.Progress("draining one host of rota")
	drained := fleet.Hosts("rota")[0]
	if err := fleet.Drain(ctx, drained, "planned maintenance in the demo"); err != nil {
		return fmt.Errorf("draining %s: %w", drained.IP, err)
	}
	if err := node.Sleep(ctx, drainTimeout); err != nil {
		return fmt.Errorf("waiting: %w", err)
	}
	before := total(drained.Upstream.Executed())
	if err := node.Sleep(ctx, cfg.EventInterval); err != nil {
		return fmt.Errorf("waiting: %w", err)
	}
	report.LateWork = total(drained.Upstream.Executed()) - before
	return nil
}

// Drain writes the exception that drains a host.
func (f *Fleet) Drain(ctx context.Context, h *Host, reason string) error {
	return f.Apply(ctx, reason, drainException(h, true))
}

func drainException(h *Host, drain bool) config.Object {
	return config.Object{
		Key: config.Key{Kind: config.KindException, Name: "drain-" + strings.ReplaceAll(h.IP.String(), ".", "-")},
		Exception: &config.Exception{
			Target:  config.HostTarget(h.IP),
			Setting: config.SettingDrain,
			Value:   strconv.FormatBool(drain),
			Reason:  "demo",
		},
	}
}

func total(executed map[string]int) int {
	n := 0
	for _, times := range executed {
		n += times
	}
	return n
}

// imbalance returns the largest ratio, over all services, of the maximum to the mean number of requests
// that a host of the service executed.
func imbalance(fleet *Fleet) float64 {
	worst := 0.0
	for _, s := range fleet.services {
		sum, largest := 0, 0
		for _, h := range s.hosts {
			n := total(h.Upstream.Executed())
			sum += n
			largest = max(largest, n)
		}
		if sum > 0 {
			worst = max(worst, float64(largest*len(s.hosts))/float64(sum))
		}
	}
	return worst
}

func fillReport(report *Report, fleet *Fleet, seen *results) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	report.BrokenFlows = seen.brokenFlows
	report.WrongAnswers = len(seen.wrongAnswers)
	report.Outcomes = seen.outcomes
	report.ShortP50Ms = quantileMs(seen.short, 50)
	report.ShortP99Ms = quantileMs(seen.short, 99)
	report.LongP50Ms = quantileMs(seen.long, 50)
	report.LongP99Ms = quantileMs(seen.long, 99)
	doubled := doubledRequests(fleet)
	report.DoubledRequests = len(doubled)
	report.ConfigVersion = versionInForce(fleet)
	report.Problems = append(report.Problems, seen.wrongAnswers...)
	report.Problems = append(report.Problems, doubled...)
	if seen.lastError != "" {
		report.Problems = append(report.Problems, seen.lastError)
	}
	if len(report.Problems) > maxProblems {
		report.Problems = report.Problems[:maxProblems]
	}
}

// doubledRequests describes the non-repeatable requests that ran more than once, on the same or on
// different upstreams.
func doubledRequests(fleet *Fleet) []string {
	times := make(map[string]int)
	for _, s := range fleet.services {
		for _, h := range slices.Concat(s.hosts, s.stopped) {
			for id, n := range h.Upstream.Executed() {
				if strings.HasPrefix(id, http.MethodPost) {
					times[id] += n
				}
			}
		}
	}
	var doubled []string
	for id, n := range times {
		if n > 1 {
			doubled = append(doubled, fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	return doubled
}

// versionInForce returns the configuration version of the entries, or 0 if they differ.
func versionInForce(fleet *Fleet) uint64 {
	version := fleet.entries[0].component.Board().Config.Version()
	for _, e := range fleet.entries {
		if e.component.Board().Config.Version() != version {
			return 0
		}
	}
	return version
}
