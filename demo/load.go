package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"endiveflow.example/endiveflow/caller"
	"endiveflow.example/endiveflow/h3conn"
	"endiveflow.example/endiveflow/node"
	"endiveflow.example/endiveflow/standin"
)

const (
	// requestTimeout bounds one request of a caller.
	requestTimeout = 10 * time.Second
	// histogramMax is the longest latency that is recorded; longer ones are recorded as this value.
	histogramMax = 30 * time.Second
	// histogramDigits is the number of significant digits of a latency.
	histogramDigits = 3
)

// Operation is one kind of request that callers send.
type Operation struct {
	Method, Path string
	// Long selects the histogram for long work, which is separate from that for short work.
	Long bool
	// Share is the operation's share of the requests of a flow, from 0 to 1.
	Share float64
}

// LoadConfig describes the callers of one service.
type LoadConfig struct {
	Service    string
	Flows      int
	Operations []Operation
	// ThinkTime is the pause between requests of a flow.
	ThinkTime time.Duration
}

// results collects the results of the callers. It is safe for concurrent use.
type results struct {
	mu sync.Mutex
	// mu guards the fields below.
	short, long  *hdrhistogram.Histogram
	outcomes     map[string]int
	brokenFlows  int
	wrongAnswers []string
	lastError    string
}

func newResults() *results {
	return &results{
		short:    hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits),
		long:     hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits),
		outcomes: make(map[string]int),
	}
}

func (r *results) add(op Operation, outcome string, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
	h := r.short
	if op.Long {
		h = r.long
	}
	_ = h.RecordValue(min(latency, histogramMax).Microseconds())
}

func (r *results) addFailure(outcome string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
	r.lastError = err.Error()
}

func (r *results) addWrongAnswer(description string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrongAnswers = append(r.wrongAnswers, description)
}

// recordError stores the description of a problem that is counted elsewhere.
func (r *results) recordError(description string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastError = description
}

func (r *results) addBrokenFlow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brokenFlows++
}

// load runs the flows of one service.
type load struct {
	cfg     LoadConfig
	fleet   *Fleet
	results *results
	ids     *atomic.Uint64
	opened  sync.WaitGroup
	ended   sync.WaitGroup
}

// startLoad opens the flows. They send requests until ctx ends, and then let the request in flight finish.
func startLoad(ctx context.Context, f *Fleet, cfg LoadConfig, r *results, ids *atomic.Uint64) *load {
	l := &load{cfg: cfg, fleet: f, results: r, ids: ids}
	for range cfg.Flows {
		l.opened.Add(1)
		l.ended.Go(func() { l.runFlow(ctx) })
	}
	return l
}

func (l *load) runFlow(ctx context.Context) {
	c, err := l.connect(ctx)
	l.opened.Done()
	if err != nil {
		l.results.addBrokenFlow()
		l.results.addFailure("connect", err)
		return
	}
	defer c.Close()
	first := c.Conn()
	for ctx.Err() == nil {
		l.request(ctx, c)
		_ = node.Sleep(ctx, l.cfg.ThinkTime)
	}
	if flowBroke(c, first) {
		l.results.addBrokenFlow()
		l.results.recordError(fmt.Sprintf("flow to %s ended: %v", l.cfg.Service, first.Err()))
	}
}

// flowBroke reports whether the flow is no longer the one that was opened. No agent is stopped in the demo,
// so no flow may end.
func flowBroke(c *caller.Client, first *h3conn.Conn) bool {
	return c.Conn() != first || first.Err() != nil
}

func (l *load) connect(ctx context.Context) (*caller.Client, error) {
	c, err := caller.New(caller.Config{
		Address: l.fleet.Address(l.cfg.Service),
		TLS:     l.fleet.cert.ClientTLS(l.cfg.Service),
	})
	if err != nil {
		return nil, fmt.Errorf("creating caller: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := c.Connect(ctx); err != nil {
		c.Close()
		return nil, fmt.Errorf("opening flow: %w", err)
	}
	return c, nil
}

func (l *load) pick() Operation {
	x := rand.Float64()
	for _, op := range l.cfg.Operations {
		if x < op.Share {
			return op
		}
		x -= op.Share
	}
	return l.cfg.Operations[0]
}

func (l *load) request(ctx context.Context, c *caller.Client) {
	op := l.pick()
	id := fmt.Sprintf("%s-%d", op.Method, l.ids.Add(1))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	begin := time.Now()
	answer, err := c.Do(ctx, caller.Request{
		Method: op.Method,
		Path:   op.Path,
		Header: http.Header{standin.RequestIDHeader: {id}},
	})
	if err != nil {
		outcome := "unknown"
		if oe := new(caller.OutcomeError); errors.As(err, &oe) {
			outcome = oe.Outcome
		}
		l.results.addFailure(outcome, err)
		return
	}
	l.results.add(op, answer.Outcome, time.Since(begin))
	if problem := checkAnswer(answer, l.cfg.Service, id); problem != "" {
		l.results.addWrongAnswer(problem)
	}
}

// checkAnswer returns a description of what is wrong with an answer, or "" if it is correct.
func checkAnswer(a caller.Answer, service, id string) string {
	var body standin.UpstreamAnswer
	if err := json.Unmarshal(a.Body, &body); err != nil {
		return fmt.Sprintf("answer to %s with status %d is not complete: %v", id, a.Status, err)
	}
	if body.Service != service || body.ID != id {
		return fmt.Sprintf("request %s to %s got the answer to %s of %s", id, service, body.ID, body.Service)
	}
	return ""
}
