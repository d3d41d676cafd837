// Package eventlog writes the JSON lines that explain what a process decided.
//
// Writing never blocks the packet path: lines go into a bounded buffer that
// one goroutine empties. Ordinary outcomes are sampled, rare ones are kept up to a higher rate; what
// was left out is counted and told once a second.
package eventlog

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Defaults of Config.
const (
	// DefaultOrdinary and DefaultRare bound the lines a second of each class.
	DefaultOrdinary = 10
	DefaultRare     = 100
	// bufferLines is the number of lines that wait to be written.
	bufferLines = 512
)

// Lines that were left out, by reason.
var (
	sampled = metrics.NewCounter(`endiveflow_eventlog_left_out_total{reason="sampled"}`)
	full    = metrics.NewCounter(`endiveflow_eventlog_left_out_total{reason="bufferFull"}`)
)

// Config configures a Log.
type Config struct {
	// Out receives the lines.
	Out io.Writer
	// Ordinary and Rare bound the lines of each class a second; 0 means the default.
	Ordinary, Rare int64
	// Level is the lowest level that is written.
	Level slog.Level
	// Node names the process in each line.
	Node string
}

// Log writes lines. It is safe for concurrent use.
type Log struct {
	*slog.Logger
	cfg   Config
	lines chan []byte
	// ordinary and rare are the lines left in this second.
	ordinary, rare atomic.Int64
}

// New returns a log. Lines wait in memory until Run writes them.
func New(cfg Config) *Log {
	if cfg.Ordinary <= 0 {
		cfg.Ordinary = DefaultOrdinary
	}
	if cfg.Rare <= 0 {
		cfg.Rare = DefaultRare
	}
	l := &Log{cfg: cfg, lines: make(chan []byte, bufferLines)}
	l.refill()
	l.Logger = slog.New(slog.NewJSONHandler(queue{l.lines}, &slog.HandlerOptions{Level: cfg.Level})).With("node", cfg.Node)
	return l
}

// Ordinary says whether a line about an ordinary outcome may be written now.
// A caller asks before it gathers the line's values.
func (l *Log) Ordinary() bool { return take(&l.ordinary) }

// Rare says the same for a rare outcome.
func (l *Log) Rare() bool { return take(&l.rare) }

func take(left *atomic.Int64) bool {
	if left.Load() <= 0 || left.Add(-1) < 0 {
		sampled.Inc()
		return false
	}
	return true
}

func (l *Log) refill() {
	l.ordinary.Store(l.cfg.Ordinary)
	l.rare.Store(l.cfg.Rare)
}

// Run writes lines until ctx ends, then those that still wait, and reports its end.
func (l *Log) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case line := <-l.lines:
				_, _ = l.cfg.Out.Write(line)
			case <-ticker.C:
				l.refill()
			case <-ctx.Done():
				l.flush()
				done <- nil
				return
			}
		}
	}()
	return done
}

func (l *Log) flush() {
	for {
		select {
		case line := <-l.lines:
			_, _ = l.cfg.Out.Write(line)
		default:
			return
		}
	}
}

// queue is the writer behind the handler; it drops lines rather than wait.
type queue struct{ lines chan<- []byte }

// Write queues a copy of a line.
func (q queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		full.Inc()
	}
	return len(line), nil
}
