package demo

import (
	"context"
	"fmt"
)

// StopHost stops the agent and then the upstream of a host as a planned
// replacement does, and returns when both have ended.
func (f *Fleet) StopHost(ctx context.Context, name string, h *Host) error {
	if err := h.agent.end(); err != nil {
		return fmt.Errorf("stopping agent of %s: %w", h.IP, err)
	}
	grace, cancel := context.WithTimeout(ctx, f.cfg.Grace)
	defer cancel()
	if err := h.Upstream.Shutdown(grace); err != nil {
		return fmt.Errorf("stopping upstream of %s: %w", h.IP, err)
	}
	_ = h.upstream.end()
	s := f.services[name]
	for i, other := range s.hosts {
		if other == h {
			s.hosts = append(s.hosts[:i:i], s.hosts[i+1:]...)
			s.stopped = append(s.stopped, h)
		}
	}
	return nil
}

// AddHost starts a host of a service and waits until the entries know it.
func (f *Fleet) AddHost(ctx context.Context, name string) (*Host, error) {
	s := f.services[name]
	h, err := f.startHost(ctx, s)
	if err != nil {
		return nil, fmt.Errorf("adding a host to %s: %w", name, err)
	}
	s.hosts = append(s.hosts, h)
	return h, f.awaitReady(ctx)
}
