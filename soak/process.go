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

// process is one process of the program. It is restarted whenever it ends.
type process struct {
	run  *run
	role string
	ip   netip.Addr
	file string
	// program is the program of the first start, later ones are of the run's program.
	program string

	mu sync.Mutex
	// The fields below are guarded by mu. lastDisturbed is when the process last started, ended, received a
	// signal or was resumed, lastStart when it last started, lastFault when it was last killed, paused or resumed; endExpected is set when a signal
	// that ends the process has been sent.
	cmd                                 *exec.Cmd
	lastDisturbed, lastStart, lastFault time.Time
	paused, endExpected                 bool
	// leave stops the process for good.
	leave context.CancelFunc
}

// startupTime is the time that a process may need until it handles signals.
const startupTime = 100 * time.Millisecond

// restartPause is the pause before an ended process is restarted.
const restartPause = 300 * time.Millisecond

func (r *run) newProcess(role string, ip netip.Addr, zone, service string) (*process, error) {
	p := &process{run: r, role: role, ip: ip, program: r.cfg.Program, file: filepath.Join(r.cfg.Dir, fmt.Sprintf("%s-%s.toml", role, ip))}
	if err := os.WriteFile(p.file, []byte(r.settings(role, ip, zone, service)), 0o600); err != nil {
		return nil, fmt.Errorf("writing settings: %w", err)
	}
	return p, nil
}

// supervise runs the process after a delay, and restarts it until ctx ends or it leaves.
func (p *process) supervise(ctx context.Context, delay time.Duration) <-chan error {
	ctx, p.leave = context.WithCancel(ctx)
	return background(func() {
		time.Sleep(delay)
		for ctx.Err() == nil {
			if err := p.runOnce(ctx); err != nil {
				if ctx.Err() == nil {
					p.run.fail("%s %s did not start: %v", p.role, p.ip, err)
				}
				// A process that left before it started isn't started.
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(restartPause):
			}
		}
	})
}

func (p *process) runOnce(ctx context.Context) error {
	log, err := os.OpenFile(p.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("opening the log: %w", err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.CommandContext(ctx, p.program, p.role)
	p.program = p.run.cfg.Program
	cmd.Cancel = func() error {
		if p.run.finished.Load() {
			return cmd.Process.Kill()
		}
		return cmd.Process.Signal(syscall.SIGTERM)
	}
	cmd.WaitDelay = stopGrace
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.file)
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	err = cmd.Start()
	p.cmd, p.lastDisturbed, p.lastStart, p.endExpected, p.paused = cmd, time.Now(), time.Now(), false, false
	p.mu.Unlock()
	if err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	err = cmd.Wait()
	p.mu.Lock()
	expected := p.endExpected
	p.lastDisturbed = time.Now()
	p.mu.Unlock()
	if !expected && ctx.Err() == nil {
		p.run.fail("%s %s ended unexpectedly: %v", p.role, p.ip, err)
	}
	return nil
}

// signal sends a signal to the process by its process ID.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	if s == syscall.SIGHUP && time.Since(p.lastDisturbed) < startupTime {
		// Before the program installs its handler, SIGHUP ends the process.
		return
	}
	p.lastDisturbed = time.Now()
	p.endExpected = p.endExpected || s == syscall.SIGKILL || s == syscall.SIGTERM
	if s == syscall.SIGKILL || s == syscall.SIGSTOP || s == syscall.SIGCONT {
		p.lastFault, p.paused = time.Now(), s == syscall.SIGSTOP
	}
	// An error means that the process has just ended; it is restarted anyway.
	_ = p.cmd.Process.Signal(s)
}

// undisturbedFor reports whether the process has run undisturbed for longer than d.
func (p *process) undisturbedFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastDisturbed) > d
}

// withoutFaultFor reports whether the process has had no fault for longer than d. Planned restarts are no faults.
func (p *process) withoutFaultFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused && time.Since(p.lastFault) > d
}

// runsFor reports whether the process was neither started, killed, paused nor resumed for longer than d.
func (p *process) runsFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused && time.Since(p.lastFault) > d && time.Since(p.lastStart) > d
}
