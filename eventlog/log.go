// Package eventlog writes JSON log lines that explain the decisions of a process.
//
// Logging never blocks the packet path: lines go into a bounded buffer that one goroutine writes out. Lines
// about ordinary outcomes are sampled at a low rate, those about rare outcomes at a higher one; the budgets
// are refilled once a second. Metrics count the lines that were left out.
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
	// DefaultOrdinaryPerSecond and DefaultRarePerSecond bound the lines per second of each class.
	DefaultOrdinaryPerSecond = 10
	DefaultRarePerSecond     = 100
	// bufferLines is the number of lines that can wait to be written.
	bufferLines = 512
)

// Lines that were left out, by reason.
var (
	leftOutSampled    = metrics.NewCounter(`endiveflow_eventlog_left_out_total{reason="sampled"}`)
	leftOutBufferFull = metrics.NewCounter(`endiveflow_eventlog_left_out_total{reason="bufferFull"}`)
)

// Config configures a Log.
type Config struct {
	// Out receives the lines.
	Out io.Writer
	// OrdinaryPerSecond and RarePerSecond bound the lines per second of each class; 0 means the default.
	OrdinaryPerSecond, RarePerSecond int64
	// Level is the lowest level that is written.
	Level slog.Level
	// Node is the name of the process, added to each line.
	Node string
}

// Log is a rate-limited logger with a buffer. It is safe for concurrent use.
type Log struct {
	*slog.Logger
	cfg   Config
	lines chan []byte
	// ordinary and rare are the numbers of lines that may still be logged in this second.
	ordinary, rare atomic.Int64
}

// New returns a log. Lines wait in memory until Run writes them.
func New(cfg Config) *Log {
	if cfg.OrdinaryPerSecond <= 0 {
		cfg.OrdinaryPerSecond = DefaultOrdinaryPerSecond
	}
	if cfg.RarePerSecond <= 0 {
		cfg.RarePerSecond = DefaultRarePerSecond
	}
	l := &Log{cfg: cfg, lines: make(chan []byte, bufferLines)}
	l.refill()
	l.Logger = slog.New(slog.NewJSONHandler(queue{l.lines}, &slog.HandlerOptions{Level: cfg.Level})).With("node", cfg.Node)
	return l
}

// AllowOrdinary reports whether a line about an ordinary outcome may be logged now, and counts it. Callers
// check it before they compute the attributes of the line.
func (l *Log) AllowOrdinary() bool { return takeToken(&l.ordinary) }

// AllowRare reports whether a line about a rare outcome may be logged now, and counts it.
func (l *Log) AllowRare() bool { return takeToken(&l.rare) }

func takeToken(tokens *atomic.Int64) bool {
	if tokens.Load() <= 0 || tokens.Add(-1) < 0 {
		leftOutSampled.Inc()
		return false
	}
	return true
}

func (l *Log) refill() {
	l.ordinary.Store(l.cfg.OrdinaryPerSecond)
	l.rare.Store(l.cfg.RarePerSecond)
}

// Run writes lines until ctx ends and then those still buffered. The channel receives nil at the end.
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

// queue is the writer of the log handler. It drops lines when the buffer is full.
type queue struct{ lines chan<- []byte }

// Write queues a copy of line. It never fails.
func (q queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		leftOutBufferFull.Inc()
	}
	return len(line), nil
}
