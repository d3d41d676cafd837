//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/standin"
)

// Ports that are the same on all machines, and the last bytes of their addresses.
const (
	packetsPort  = 23170
	outputPort   = 23171
	readyPort    = 23172
	controlPort  = 23173
	hostPort     = 23174
	internalPort = 23180

	entryKind  = 1
	hostKind   = 40
	routeKind  = 200
	clientKind = 250
)

// Bounds of the settings, as in the example of DEPLOY.md.
const (
	stableWindow = 4 * time.Second
	reorder      = 2 * time.Second
	maxFlow      = 60 * time.Second
	heartbeat    = 1200 * time.Millisecond
	restartPause = 500 * time.Millisecond
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// lab is a small deployment.
type lab struct {
	dir     string
	tmp     string
	network [2]byte
	began   time.Time
	record  *os.File
	store   *standin.Platform
	client  *platform.Client
	entries []*process
	agents  []*process
	hosts   []*host
	clients []*clients
	dialed  int

	mu         sync.Mutex
	version    uint64
	revision   uint64
	inRotation []*process
	failures   []string
	// couldNotRun is set if a step of the case failed.
	couldNotRun bool
	flows       map[string]*flowTrace
	runs        map[string][]string
	requests    map[string]bool
	// touchedAt is when the last disruption ended; rules with time bounds hold stableWindow later.
	touchedAt time.Time
}

// flowTrace is what clients and hosts saw of a flow.
type flowTrace struct {
	host     string
	openedAt time.Time
	// endedAt is when both ends had closed the flow, or its client gave up.
	endedAt  time.Time
	arrivals []arrival
	resets   []time.Time
}

type arrival struct {
	at   time.Time
	host string
	what string
}

func newLab(dir string) (*lab, error) {
	tmp, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &lab{
		dir: dir, tmp: tmp, network: [2]byte{byte(16 + rand.IntN(200)), byte(rand.IntN(250))}, began: time.Now(), record: record,
		version: 10, flows: make(map[string]*flowTrace), runs: make(map[string][]string), requests: make(map[string]bool),
	}
	l.store = standin.NewPlatform(standin.PlatformConfig{Address: "127.0.0.1:0"})
	if _, err := l.store.Run(context.Background()); err != nil {
		return nil, err
	}
	l.client, err = platform.New(platform.Config{URL: "http://" + l.store.Addr().String()})
	return l, err
}

func (l *lab) address(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.network[0], l.network[1], byte(kind + n)})
}

func (l *lab) random() uint32 { return rand.Uint32() }

func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteLocked(format, args...)
}

func (l *lab) noteLocked(format string, args ...any) {
	line := fmt.Sprintf("%7.3f  ", time.Since(l.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(l.record, line)
}

// fail records that the case can't be judged.
func (l *lab) fail(err error) {
	if err != nil {
		l.note("could not run: %v", err)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.couldNotRun = true
	}
}

func (l *lab) broken(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := "BROKEN " + rule + ": " + fmt.Sprintf(format, args...)
	l.failures = append(l.failures, text)
	l.noteLocked("%s", text)
}

// route sends a client's packet to the entry that the routers select.
func (l *lab) route(f *clientFlow, p packet) {
	to := l.entryOf(f)
	l.note("sent %s to %s: %v", f.name, to.name, p)
	_, _ = f.c.conn.WriteToUDPAddrPort(p.bytes(), netip.AddrPortFrom(to.ip, packetsPort))
}

// entryOf returns the entry of the client's zone that the routers select for a flow.
func (l *lab) entryOf(f *clientFlow) *process {
	h := fnv.New32a()
	_, _ = h.Write([]byte(f.name))
	l.mu.Lock()
	defer l.mu.Unlock()
	ready, all := inZone(l.inRotation, f.c.zone), inZone(l.entries, f.c.zone)
	switch {
	case len(ready) == 0 && len(l.inRotation) > 0:
		ready = l.inRotation
	case 2*len(ready) < len(all):
		ready = all
	}
	return ready[int(h.Sum32())%len(ready)]
}

func inZone(processes []*process, zone string) (in []*process) {
	for _, p := range processes {
		if p.zone == zone {
			in = append(in, p)
		}
	}
	return in
}

func (l *lab) trace(name string) *flowTrace {
	t := l.flows[name]
	if t == nil {
		t = new(flowTrace)
		l.flows[name] = t
	}
	return t
}

func (l *lab) arrived(h *host, name string, p packet, isOwn bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.trace(name)
	t.arrivals = append(t.arrivals, arrival{time.Now(), h.name, p.String()})
	l.noteLocked("arrived %s at %s: %v, open there %v", name, h.name, p, isOwn)
}

func (l *lab) opened(h *host, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.trace(name)
	t.host, t.openedAt = h.name, time.Now()
	l.noteLocked("opened %s at %s", name, h.name)
}

func (l *lab) ended(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trace(name).endedAt = time.Now()
	l.noteLocked("ended %s", name)
}

// gaveUp records that a client gave its flow up, so that it sends nothing more.
func (l *lab) gaveUp(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.trace(name); t.endedAt.IsZero() {
		t.endedAt = time.Now()
	}
}

func (l *lab) resetArrived(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.trace(name)
	t.resets = append(t.resets, time.Now())
	l.noteLocked("reset of the system for %s", name)
}

func (l *lab) ran(h *host, id string) {
	l.mu.Lock()
	sent := l.requests[id]
	l.runs[id] = append(l.runs[id], h.name)
	l.noteLocked("ran %s at %s", id, h.name)
	l.mu.Unlock()
	if !sent {
		l.broken("UNASKED", "host %s ran %q, which no client sent", h.name, id)
	}
}

func (l *lab) sentRequest(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = true
	l.noteLocked("request %s", id)
}

func (l *lab) answeredRequest(id, host string) { l.note("answered %s by %s", id, host) }

// touched records that a disruption ends now.
func (l *lab) touched() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.touchedAt = time.Now()
}

// checkFlows checks the rule FLOW for all flows, for the time in which all machines were in touch. disturbed are hosts that were
// disturbed themselves.
func (l *lab) checkFlows(disturbed map[string]bool) {
	// Each window that is looked at must be over.
	time.Sleep(reorder + 500*time.Millisecond)
	l.mu.Lock()
	var texts []string
	from := l.touchedAt.Add(stableWindow)
	for name, t := range l.flows {
		if t.openedAt.IsZero() || disturbed[t.host] {
			continue
		}
		until := t.openedAt.Add(maxFlow)
		if !t.endedAt.IsZero() && t.endedAt.Before(until) {
			until = t.endedAt
		}
		for _, at := range t.resets {
			if at.After(t.openedAt) && at.After(from) && at.Before(until) {
				texts = append(texts, fmt.Sprintf("(a) %s, open at %s, got a reset that its host didn't send", name, t.host))
				break
			}
		}
		for i, a := range t.arrivals {
			others, own := 0, 0
			hosts := ""
			for _, b := range t.arrivals[i:] {
				if b.at.Sub(a.at) > reorder {
					break
				}
				if b.host == t.host {
					own++
				} else {
					others++
					hosts += " " + b.host
				}
			}
			if a.at.After(t.openedAt) && a.at.After(from) && a.at.Add(reorder).Before(until) && others >= 3 && own == 0 {
				texts = append(texts, fmt.Sprintf("(b) %s, open at %s: within %v, %d of its packets reached other hosts (%s ) and none its own", name, t.host, reorder, others, hosts))
				break
			}
		}
	}
	l.mu.Unlock()
	for _, text := range texts {
		l.broken("FLOW", "%s", text)
	}
}

// route in a configuration.
type route struct {
	at      netip.AddrPort
	service string
}

// configure writes a configuration like the operator.
func (l *lab) configure(routes []route) error {
	l.version += 1 + uint64(rand.IntN(5))
	type wireRoute map[string]any
	var list []wireRoute
	services := map[string]bool{}
	for i, r := range routes {
		list = append(list, wireRoute{
			"name": fmt.Sprintf("route-%d", i), "host": r.at.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", r.at.Port()), "service": r.service,
			"type": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 150, "priority": 1, "maxAttempts": 1,
		})
		services[r.service] = true
	}
	var named []map[string]any
	for _, h := range l.hosts {
		if !services["+"+h.service] {
			services["+"+h.service] = true
			named = append(named, map[string]any{"name": h.service, "healthPath": "/health"})
		}
	}
	value, err := json.Marshal(map[string]any{"version": l.version, "routes": list, "services": named, "limits": map[string]any{"idleTimeoutMs": 45000}})
	if err != nil {
		return err
	}
	revision, err := l.client.Put(context.Background(), platform.RoutesKey, value, l.revision)
	if err != nil {
		return err
	}
	l.revision = revision
	text := ""
	for _, r := range routes[:min(len(routes), 4)] {
		text += fmt.Sprintf(" %s to %s,", r.at, r.service)
	}
	l.note("configuration %d acknowledged, %d routes:%s the last one to %s", l.version, len(routes), text, routes[len(routes)-1].service)
	return nil
}

// process is an entry or an agent.
type process struct {
	lab      *lab
	role     string
	name     string
	zone     string
	ip       netip.Addr
	settings string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

func (l *lab) newProcess(role, name string, ip netip.Addr, zone, service string) (*process, error) {
	class, serves := "frontend", `["frontend","control_plane"]`
	if role == "agent" {
		class, serves = "side", `["side"]`
	}
	text := fmt.Sprintf(`nodeName = %q
role = %q
machineClass = %q
serves = %s
ip = %q
zone = %q
region = "region-1"
internalPortRange = [%d,%d]
seeds = [%q]
bootstrap = true
inFailureDomain = false
discovery = "local"
entryMode = "bgp_announce"
heartbeatMs = %d
contracts = ["base","drain","config","cost","recover","flows","platform"]
hash = "mod"
deploymentMode = "agent"
`, name, role, class, serves, ip, zone, internalPort, internalPort+15, netip.AddrPortFrom(l.address(entryKind, 0), controlPort).String(), heartbeat.Milliseconds())
	if service != "" {
		text += fmt.Sprintf("service = %q\napp = \"%s:%d\"\n", service, ip, hostPort)
	}
	text += "[zones]\n"
	for _, z := range zones {
		text += fmt.Sprintf("%s = \"region-1\"\n", z)
	}
	text += fmt.Sprintf("[listenAddrs]\ndatagramAddr = \"%s:%d\"\nreadinessAddr = \"%s:%d\"\ncontrol = \"%s:%d\"\n", ip, packetsPort, ip, readyPort, ip, controlPort)
	if service != "" {
		text += fmt.Sprintf("outbound = \"%s:%d\"\n", ip, outputPort)
	}
	text += fmt.Sprintf(`[limits]
cpuShare = 0.4
cpuSpeedFactor = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
maxStretchMs = 12000
recoveryS = 12
reorderMs = 2000
maxFlowS = 60
[platform]
address = %q
deploymentMode = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`, l.store.Addr().String())
	path := filepath.Join(l.tmp, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return &process{lab: l, role: role, name: name, zone: zone, ip: ip, settings: path}, nil
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.lab.tmp, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/endiveflow-node", p.role)
	cmd.Env = []string{"ENDIVEFLOW_NODE_FILE=" + p.settings, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
	p.lab.note("killed %s", p.name)
}

// terminate sends SIGTERM, and SIGKILL after the grace period.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	p.lab.note("SIGTERM to %s", p.name)
	select {
	case <-p.ended:
	case <-time.After(6 * time.Second):
		p.lab.note("SIGKILL to %s after the grace period", p.name)
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	p.lab.note("ended %s", p.name)
}

// watchRotation checks the readiness of the entries like the routers.
func (l *lab) watchRotation() {
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make(map[*process]int)
	for {
		var ready []*process
		for _, p := range l.entries {
			res, err := client.Get("http://" + netip.AddrPortFrom(p.ip, readyPort).String() + "/ready")
			misses[p]++
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					misses[p] = 0
				}
			}
			if misses[p] < 2 {
				ready = append(ready, p)
			}
		}
		l.mu.Lock()
		l.inRotation = ready
		l.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// begin starts hosts of services, in the given numbers, their agents, and entries in the given zones, and waits until they serve.
func (l *lab) begin(entryZones []int, services []string, counts []int, routes []route) error {
	n := 0
	for i, service := range services {
		for range counts[i] {
			h, err := l.newHost(n, service)
			if err != nil {
				return err
			}
			l.hosts = append(l.hosts, h)
			a, err := l.newProcess("agent", "agent-"+h.name, h.ip, h.zone, service)
			if err != nil {
				return err
			}
			l.agents = append(l.agents, a)
			n++
		}
	}
	if err := l.configure(routes); err != nil {
		return err
	}
	for i, zone := range entryZones {
		p, err := l.newProcess("entry", fmt.Sprintf("entry-%d", i), l.address(entryKind, i), zones[zone], "")
		if err != nil {
			return err
		}
		l.entries = append(l.entries, p)
	}
	for _, p := range append(append([]*process{}, l.agents...), l.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, h := range l.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for n := range zones {
		c, err := l.newClients(n)
		if err != nil {
			return err
		}
		l.clients = append(l.clients, c)
	}
	go l.watchRotation()
	for limit := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		l.mu.Lock()
		ready := len(l.inRotation)
		l.mu.Unlock()
		if ready == len(l.entries) {
			break
		}
		if time.Now().After(limit) {
			return fmt.Errorf("only %d of %d entries became ready", ready, len(l.entries))
		}
	}
	time.Sleep(3 * time.Second)
	l.touched()
	l.note("all entries are ready")
	return nil
}

// end ends all processes.
func (l *lab) end() {
	for _, p := range append(append([]*process{}, l.agents...), l.entries...) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		if p.ended != nil {
			<-p.ended
		}
	}
	for _, h := range l.hosts {
		h.crash()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(l.tmp)
	} else {
		fmt.Println("logs in", l.tmp)
	}
}
