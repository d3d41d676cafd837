package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happened, with the time since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

func (r *record) now() time.Duration { return time.Since(r.started) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.4f s  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// breakRule records a broken rule.
func (r *record) breakRule(rule, format string, args ...any) {
	text := rule + " broken: " + fmt.Sprintf(format, args...)
	r.add("%s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

func (r *record) brokenRules() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}
