package soak

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"endiveflow.example/endiveflow/platform"
)

// process is one process of the program, started again whenever it ends.
type process struct {
	run  *run
	role string
	ip   netip.Addr
	file string

	mu sync.Mutex
	// All below is guarded by mu. disturbed is when it last started, was
	// signalled or went on after a pause.
	cmd       *exec.Cmd
	disturbed time.Time
	stopping  bool
}

// startTime is how long the start of a process may take until it handles signals.
const startTime = 100 * time.Millisecond

// restartPause is the time after which an ended process is started again.
const restartPause = 300 * time.Millisecond

func (r *run) newProcess(role string, ip netip.Addr, service string) (*process, error) {
	p := &process{run: r, role: role, ip: ip, file: filepath.Join(r.cfg.Dir, fmt.Sprintf("%s-%s.toml", role, ip))}
	if err := os.WriteFile(p.file, []byte(r.settings(role, ip, service)), 0o600); err != nil {
		return nil, fmt.Errorf("writing settings: %w", err)
	}
	return p, nil
}

// keep runs the process until ctx ends, and reports its end.
func (p *process) keep(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		for ctx.Err() == nil {
			if err := p.once(ctx); err != nil {
				p.run.fail("%s %s did not start: %v", p.role, p.ip, err)
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(restartPause):
			}
		}
	}()
	return done
}

func (p *process) once(ctx context.Context) error {
	log, err := os.OpenFile(p.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("opening the log: %w", err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.CommandContext(ctx, p.run.cfg.Program, p.role)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.file)
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	err = cmd.Start()
	p.cmd, p.disturbed, p.stopping = cmd, time.Now(), false
	p.mu.Unlock()
	if err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	err = cmd.Wait()
	p.mu.Lock()
	expected := p.stopping
	p.disturbed = time.Now()
	p.mu.Unlock()
	if !expected && ctx.Err() == nil {
		p.run.fail("%s %s ended by itself: %v", p.role, p.ip, err)
	}
	return nil
}

// signal sends a signal to the process, by its ID.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	if s == syscall.SIGHUP && time.Since(p.disturbed) < startTime {
		// Until the program runs, a hangup ends it, whatever it does.
		return
	}
	p.disturbed = time.Now()
	p.stopping = p.stopping || s == syscall.SIGKILL || s == syscall.SIGTERM
	// A process that has just ended is started again anyway.
	_ = p.cmd.Process.Signal(s)
}

// calm says whether the process has run undisturbed for a time.
func (p *process) calm(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.disturbed) > d
}
