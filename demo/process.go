package demo

import (
	"context"
	"fmt"

	"endiveflow.example/endiveflow/entry"
)

// process is a component of the fleet that runs until it is stopped.
type process[T any] struct {
	component T
	stop      context.CancelFunc
	done      <-chan error
}

// start runs a component with its own context, which does not end with ctx.
func start[T any](ctx context.Context, component T, run func(context.Context) <-chan error) *process[T] {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &process[T]{component: component, stop: cancel, done: run(runCtx)}
}

// stopAndWait stops the component, waits for its end and returns its error.
func (p *process[T]) stopAndWait() error {
	p.stop()
	return <-p.done
}

// stopAll stops the entries concurrently and returns the error of one that failed, if any.
func stopAll(entries []*process[*entry.Role]) error {
	ended := make(chan error, len(entries))
	for _, e := range entries {
		go func() { ended <- e.stopAndWait() }()
	}
	var failed error
	for range entries {
		if err := <-ended; err != nil {
			failed = fmt.Errorf("stopping an entry: %w", err)
		}
	}
	return failed
}
