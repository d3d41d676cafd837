package packetnode

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// endTimeout bounds how long the parts of a process may take to end.
const endTimeout = 500 * time.Millisecond

// group owns the goroutines of a process.
type group struct {
	parts []part
}

type part struct {
	name string
	done <-chan error
}

func (g *group) add(name string, done <-chan error) { g.parts = append(g.parts, part{name, done}) }

func (g *group) serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	done, err := serve(ctx, address, handler)
	if err != nil {
		return err
	}
	g.add("calls at "+address.String(), done)
	return nil
}

// wait waits until ctx ends or a part does, which is an error.
func (g *group) wait(ctx context.Context) error {
	failed := make(chan error, len(g.parts))
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range g.parts {
		p := &g.parts[i]
		ended := p.done
		again := make(chan error, 1)
		p.done = again
		go func() {
			err := <-ended
			again <- err
			if watch.Err() == nil {
				failed <- fmt.Errorf("%s ended: %w", p.name, errors.Join(err, errPart))
			}
		}()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// errPart says that a part of a process ended by itself.
var errPart = errors.New("part of the process ended")

// end waits for all parts, whose context has ended.
func (g *group) end() error {
	limit := time.After(endTimeout)
	var all error
	for _, p := range g.parts {
		select {
		case err := <-p.done:
			if err != nil {
				all = errors.Join(all, fmt.Errorf("ending %s: %w", p.name, err))
			}
		case <-limit:
			return errors.Join(all, fmt.Errorf("ending %s: not ended within %s", p.name, endTimeout))
		}
	}
	return all
}
