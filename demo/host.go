package demo

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"

	"endiveflow.example/endiveflow/agent"
	"endiveflow.example/endiveflow/settings"
	"endiveflow.example/endiveflow/standin"
)

// Host is a host, with an upstream and its agent.
type Host struct {
	IP       netip.Addr
	Upstream *standin.Upstream
	agent    *process[*agent.Role]
	upstream *process[*standin.Upstream]
}

func (f *Fleet) startHosts(ctx context.Context, s *service) error {
	for range s.cfg.Hosts {
		h, err := f.startHost(ctx, s)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	return nil
}

func (f *Fleet) startHost(ctx context.Context, s *service) (*Host, error) {
	n := 0
	for _, other := range f.services {
		n += len(other.hosts) + len(other.stopped)
	}
	ip := f.loopback(firstHostIP + n + 1)
	role, err := agent.New(agent.RoleConfig{
		Settings: settings.Agent{
			Node:    f.nodeSettings(ip, n),
			Service: s.cfg.Name,
			TLS: settings.TLS{
				CertFile: filepath.Join(f.dir, standin.CertificateFile),
				KeyFile:  filepath.Join(f.dir, standin.PrivateKeyFile),
			},
		},
		Log: f.cfg.Log.With("process", fmt.Sprintf("agent-%d", n)),
	})
	if err != nil {
		return nil, fmt.Errorf("starting agent: %w", err)
	}
	up, err := standin.NewUpstream(standin.UpstreamConfig{
		Service:   s.cfg.Name,
		Address:   netip.AddrPortFrom(ip, 0),
		Slots:     s.cfg.Slots,
		WorkTimes: s.cfg.WorkTimes,
		AgentURL:  "http://" + role.AdminAddress().String(),
	})
	if err != nil {
		return nil, fmt.Errorf("starting upstream: %w", err)
	}
	h := &Host{IP: ip, Upstream: up}
	h.agent = start(ctx, role, role.Run)
	h.upstream = start(ctx, up, up.Run)
	return h, nil
}

// StopHost stops the agent and then the upstream of a host, as in a planned replacement, and returns when
// both have ended.
func (f *Fleet) StopHost(ctx context.Context, name string, h *Host) error {
	if err := h.agent.stopAndWait(); err != nil {
		return fmt.Errorf("stopping agent of %s: %w", h.IP, err)
	}
	grace, cancel := context.WithTimeout(ctx, f.cfg.ShutdownGrace)
	defer cancel()
	if err := h.Upstream.Shutdown(grace); err != nil {
		return fmt.Errorf("stopping upstream of %s: %w", h.IP, err)
	}
	_ = h.upstream.stopAndWait()
	s := f.services[name]
	for i, other := range s.hosts {
		if other == h {
			s.hosts = append(s.hosts[:i:i], s.hosts[i+1:]...)
			s.stopped = append(s.stopped, h)
		}
	}
	return nil
}

// AddHost starts a new host of a service and waits until the entries have a record of it as ready.
func (f *Fleet) AddHost(ctx context.Context, name string) (*Host, error) {
	s := f.services[name]
	h, err := f.startHost(ctx, s)
	if err != nil {
		return nil, fmt.Errorf("adding a host to %s: %w", name, err)
	}
	s.hosts = append(s.hosts, h)
	return h, f.awaitReady(ctx)
}
