package demo

import (
	"context"
	"fmt"

	"endiveflow.example/endiveflow/entry"
)

// process is a part that runs until it is stopped.
type process[T any] struct {
	part T
	stop context.CancelFunc
	done <-chan error
}

// start runs a part under a context of its own.
func start[T any](ctx context.Context, part T, run func(context.Context) <-chan error) *process[T] {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &process[T]{part: part, stop: cancel, done: run(runCtx)}
}

// end stops the part and returns its error.
func (p *process[T]) end() error {
	p.stop()
	return <-p.done
}

// endAll stops entries at the same time and returns an error of one that failed.
func endAll(entries []*process[*entry.Role]) error {
	ended := make(chan error, len(entries))
	for _, e := range entries {
		go func() { ended <- e.end() }()
	}
	var failed error
	for range entries {
		if err := <-ended; err != nil {
			failed = fmt.Errorf("stopping an entry: %w", err)
		}
	}
	return failed
}
