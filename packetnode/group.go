package packetnode

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// endTimeout bounds how long the parts of a process may take to stop.
const endTimeout = 500 * time.Millisecond

// group holds the background parts of a process.
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

// wait waits until ctx ends or one of the parts does. The end of a part is an error.
func (g *group) wait(ctx context.Context) error {
	failed := make(chan error, len(g.parts))
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range g.parts {
		p := &g.parts[i]
		done := p.done
		forwarded := make(chan error, 1)
		p.done = forwarded
		go func() {
			err := <-done
			forwarded <- err
			if watchCtx.Err() == nil {
				failed <- fmt.Errorf("%s ended: %w", p.name, errors.Join(err, errPartEnded))
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

// errPartEnded reports that a part of the process ended although the process was not stopped.
var errPartEnded = errors.New("part of the process ended unexpectedly")

// waitAll waits until all parts have ended. Their context must be cancelled before.
func (g *group) waitAll() error {
	limit := time.After(endTimeout)
	var errs error
	for _, p := range g.parts {
		select {
		case err := <-p.done:
			if err != nil {
				errs = errors.Join(errs, fmt.Errorf("ending %s: %w", p.name, err))
			}
		case <-limit:
			return errors.Join(errs, fmt.Errorf("ending %s: not ended within %s", p.name, endTimeout))
		}
	}
	return errs
}
