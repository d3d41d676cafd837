package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports are the same on all machines.
const (
	portDatagram  = 18172
	portReady     = 18167
	portControl   = 18166
	portApp       = 18165
	portOutbound  = 18162
	portInternal  = 17720
	portStore     = 18169
	heartbeat     = 1200 * time.Millisecond
	grace         = 6 * time.Second
	reorder       = 2 * time.Second
	stableWindow  = 4 * time.Second
	drainBound    = 3 * time.Second
	idleTimeoutMs = 15000
)

// lab is a small deployment on loopback addresses.
type lab struct {
	start   time.Time
	net     byte
	dir     string
	program string
	zones   []string
	store   *store
	entries []*machine
	sides   []*machine
	hosts   []*host
	record  *os.File

	// ending is set when all processes are to end.
	ending   atomic.Bool
	mu       sync.Mutex
	broken   []string
	flows    map[key]*flowRecord
	ready    map[netip.Addr]bool
	misses   map[netip.Addr]int
	client   *net.UDPConn
	ranCount map[string]int
	ranAt    map[string]*host
	// calmSince is the end of the last disruption, zero while one lasts; calm are the calm times that have ended. judgeCalm
	// reports whether they matter.
	calmSince time.Time
	judgeCalm bool
	calm      [][2]time.Time
	// extraBounds are further lines of the settings' bounds.
	extraBounds string
	// allowed judges whether a host's service may take a flow.
	allowed func(h *host, k key)
}

// flowRecord is what the judge knows of a flow.
type flowRecord struct {
	host     *host
	openedAt time.Time
	ended    bool
	endedAt  time.Time
	// leftAt is when the client gave the flow up.
	leftAt   time.Time
	arrivals []arrival
}

type arrival struct {
	at   time.Time
	host *host
}

// machine runs one process of the system.
type machine struct {
	lab     *lab
	name    string
	role    string
	ip      netip.Addr
	zone    string
	service string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	desired bool
	log     *os.File
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	killAll()
	if current != nil {
		os.RemoveAll(current.dir)
	}
	os.Exit(2)
}

var current *lab

// killAll ends all processes that were started.
func killAll() {
	if current == nil {
		return
	}
	current.ending.Store(true)
	for _, m := range append(slices.Clone(current.entries), current.sides...) {
		m.kill()
	}
}

func newLab(recordPath, program string, zones []string) *lab {
	record, err := os.Create(recordPath)
	if err != nil {
		cannotRun("%v", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("%v", err)
	}
	l := &lab{
		start: time.Now(), net: byte(20 + rand.IntN(220)), dir: dir, program: program, zones: zones, store: newStore(), record: record,
		flows: make(map[key]*flowRecord), ready: make(map[netip.Addr]bool), misses: make(map[netip.Addr]int),
		ranCount: make(map[string]int), ranAt: make(map[string]*host),
	}
	current = l
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ended
		cannotRun("ended by a signal")
	}()
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(l.addr(200, 7), portStore).String())
	if err != nil {
		cannotRun("%v", err)
	}
	go http.Serve(listener, l.store)
	l.client, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(l.addr(201, 1), 0)))
	if err != nil {
		cannotRun("%v", err)
	}
	return l
}

func (l *lab) addr(c, d byte) netip.Addr { return netip.AddrFrom4([4]byte{127, l.net, c, d}) }

func (l *lab) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(l.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	l.record.WriteString(line)
}

func (l *lab) broke(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	l.mu.Lock()
	l.broken = append(l.broken, text)
	l.mu.Unlock()
	l.log("BROKEN %s", text)
}

func (l *lab) addEntry(zone int) *machine {
	m := &machine{lab: l, role: "entry", zone: l.zones[zone], ip: l.addr(byte(zone+1), byte(10+len(l.entries)))}
	m.name = fmt.Sprintf("frontend-%s-%d", m.zone, len(l.entries)+1)
	l.entries = append(l.entries, m)
	return m
}

func (l *lab) addSide(zone int, service string, capacity int, work time.Duration) (*machine, *host) {
	m := &machine{lab: l, role: "agent", zone: l.zones[zone], ip: l.addr(byte(zone+1), byte(40+len(l.sides))), service: service}
	m.name = fmt.Sprintf("side-%s-%d", m.zone, len(l.sides)+1)
	l.sides = append(l.sides, m)
	h := &host{lab: l, ip: m.ip, zone: m.zone, service: service, capacity: capacity, work: work}
	l.hosts = append(l.hosts, h)
	return m, h
}

// settings is the settings file of a machine, with the fields that DEPLOY.md shows.
func (m *machine) settings() string {
	l := m.lab
	class, serves := "frontend", `"frontend","control_plane"`
	if m.role == "agent" {
		class, serves = "side", `"side"`
	}
	var seeds []string
	for _, e := range l.entries[:min(len(l.entries), 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(e.ip, portControl)))
	}
	s := fmt.Sprintf(`nodeName = %q
role = %q
machineClass = %q
serves = [%s]
ip = "%s"
zone = %q
region = "region"
internalPortRange = [%d,%d]
seeds = [%s]
bootstrap = true
inFailureDomain = false
discovery = "local"
entryMode = "bgp_announce"
heartbeatMs = %d
contracts = ["base","drain","config","cost","recover","flows","platform"]
hash = "mod"
deploymentMode = "agent"
`, m.name, m.role, class, serves, m.ip, m.zone, portInternal, portInternal+15, strings.Join(seeds, ","), heartbeat.Milliseconds())
	if m.role == "agent" {
		s += fmt.Sprintf("app = \"%s:%d\"\nservice = %q\n", m.ip, portApp, m.service)
	}
	s += "[zones]\n"
	for _, z := range l.zones {
		s += fmt.Sprintf("%s = \"region\"\n", z)
	}
	s += fmt.Sprintf("[listenAddrs]\ndatagramAddr = \"%s:%d\"\nreadinessAddr = \"%s:%d\"\ncontrol = \"%s:%d\"\n", m.ip, portDatagram, m.ip, portReady, m.ip, portControl)
	if m.role == "agent" {
		s += fmt.Sprintf("outbound = \"%s:%d\"\n", m.ip, portOutbound)
	}
	return s + fmt.Sprintf(`[limits]
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
%s[platform]
address = "%s:%d"
deploymentMode = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`, l.extraBounds, l.addr(200, 7), portStore)
}

// run starts the process of the machine, as deploy/system.toml says.
func (m *machine) run() {
	path := filepath.Join(m.lab.dir, m.name+".toml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		cannotRun("%v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lab.ending.Load() {
		return
	}
	if m.log == nil {
		m.log, _ = os.Create(filepath.Join(m.lab.dir, m.name+".log"))
	}
	cmd := exec.Command(m.lab.program, m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ENDIVEFLOW_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	exited := make(chan struct{})
	m.cmd, m.exited, m.desired = cmd, exited, true
	go func() {
		err := cmd.Wait()
		m.lab.log("%s ends: %v", m.name, err)
		close(exited)
	}()
}

// terminate sends SIGTERM, SIGKILL after the grace period, and starts the process again if it is to return.
func (m *machine) terminate(again bool) {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	m.lab.log("SIGTERM to %s", m.name)
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		cmd.Process.Kill()
		<-exited
	}
	if again {
		time.Sleep(500 * time.Millisecond)
		m.run()
		m.lab.log("%s is started again", m.name)
	}
}

func (m *machine) kill() {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		<-exited
	}
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd.Process.Signal(s)
}

// configure writes a configuration as the operator does.
func (l *lab) configure(version int, routes []map[string]any, services ...string) {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 2000, "protocol": "h1", "tls": false})
	}
	l.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeoutMs},
	})
	b, _ := json.Marshal(routes)
	l.log("configuration %d is acknowledged: %s", version, b)
}

func route(name string, at netip.AddrPort, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": at.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", at.Port()), "type": kind, "timeoutMs": 3000, "targetLatencyMs": 300,
		"priority": 1, "service": service, "maxAttempts": 2,
	}
}

// startAll starts the hosts and processes, and the routers' probes, and waits until an entry of each zone is ready.
func (l *lab) startAll() {
	for _, m := range append(slices.Clone(l.entries), l.sides...) {
		m.run()
	}
	for _, h := range l.hosts {
		h.start()
	}
	go l.probe()
	for range 150 {
		time.Sleep(100 * time.Millisecond)
		if len(l.rotation()) == len(l.entries) {
			time.Sleep(3 * time.Second)
			return
		}
	}
	cannotRun("the entries don't become ready")
}

// probe sends GET /ready to each entry twice a second.
func (l *lab) probe() {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, m := range l.entries {
			go func() {
				res, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, portReady))
				ok := err == nil && res.StatusCode == 200
				if err == nil {
					res.Body.Close()
				}
				l.mu.Lock()
				defer l.mu.Unlock()
				if ok {
					l.misses[m.ip], l.ready[m.ip] = 0, true
				} else if l.misses[m.ip]++; l.misses[m.ip] >= 2 {
					l.ready[m.ip] = false
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// rotation returns the entries in rotation.
func (l *lab) rotation() []*machine {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*machine
	for _, m := range l.entries {
		if l.ready[m.ip] {
			out = append(out, m)
		}
	}
	return out
}

// nodesOf returns the entries that the routers use for a zone: those in rotation, all of the zone if fewer than half are, and those
// of the other zones if none is.
func (l *lab) nodesOf(zone string) []*machine {
	var own, ready, others []*machine
	inRotation := l.rotation()
	for _, m := range l.entries {
		isReady := slices.Contains(inRotation, m)
		switch {
		case m.zone != zone && isReady:
			others = append(others, m)
		case m.zone == zone:
			own = append(own, m)
			if isReady {
				ready = append(ready, m)
			}
		}
	}
	switch {
	case len(ready) == 0 && len(others) > 0:
		return others
	case 2*len(ready) < len(own):
		return own
	}
	return ready
}

// toEntry hands a client's packet to the entry that the routers of its zone select by a hash of the four addresses and ports.
func (l *lab) toEntry(k key, zone string, b []byte) {
	nodes := l.nodesOf(zone)
	h := fnv.New32a()
	h.Write([]byte(k.String()))
	m := nodes[int(h.Sum32())%len(nodes)]
	l.client.WriteToUDPAddrPort(b, netip.AddrPortFrom(m.ip, portDatagram))
}

// arrived records a client's packet at a host.
func (l *lab) arrived(h *host, k key, p packet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.flows[k]
	if r == nil {
		return
	}
	if r.host != h {
		l.log("host %s gets a packet of flow %s, which is open at host %s: %s", h.ip, k, r.host.ip, p.flagNames())
	}
	r.arrivals = append(r.arrivals, arrival{time.Now(), h})
}

// opening judges an opening packet that a host takes. h.mu is held.
func (l *lab) opening(h *host, k key) {
	if !h.ackedAt.IsZero() && time.Since(h.ackedAt) > drainBound {
		l.broke("DRAIN", "flow %s is opened at host %s %.2f s after its draining was acknowledged", k, h.ip, time.Since(h.ackedAt).Seconds())
	}
	if l.allowed != nil {
		l.allowed(h, k)
	}
}

func (l *lab) flowOpened(k key, h *host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flows[k] = &flowRecord{host: h, openedAt: time.Now(), arrivals: []arrival{{time.Now(), h}}}
}

func (l *lab) flowEnded(k key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.flows[k]; r != nil {
		r.ended, r.endedAt = true, time.Now()
	}
}

func (l *lab) ran(h *host, k key, id string) {
	l.mu.Lock()
	l.ranCount[id]++
	n := l.ranCount[id]
	l.ranAt[id] = h
	l.mu.Unlock()
	if n > 1 {
		l.broke("TWICE", "request %s runs again, at host %s", id, h.ip)
	}
}

// setCalm begins or ends a calm time, in which nothing disturbs the deployment. Once called, rules with bounds are judged only there.
func (l *lab) setCalm(calm bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case calm:
		l.calmSince = time.Now()
	case !l.calmSince.IsZero():
		l.calm = append(l.calm, [2]time.Time{l.calmSince, time.Now()})
		l.calmSince = time.Time{}
	}
	l.judgeCalm = true
	l.record.WriteString(fmt.Sprintf("%8.3f  calm: %v\n", time.Since(l.start).Seconds(), calm))
}

// isCalm reports whether there has been no disruption for the stable window.
func (l *lab) isCalm(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.judgeCalm || !l.calmSince.IsZero() && at.Sub(l.calmSince) >= stableWindow
}

// clientLeft records that the client gives a flow up.
func (l *lab) clientLeft(k key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.flows[k]; r != nil && r.leftAt.IsZero() {
		r.leftAt = time.Now()
	}
}

// gotReset judges a reset that a client got on an open flow.
func (l *lab) gotReset(f *clientFlow, p packet) {
	l.mu.Lock()
	r := l.flows[f.k]
	l.mu.Unlock()
	own := isOwnReset(p)
	l.log("client: flow %s gets a reset, of the system's own: %v", f.k, own)
	if own && r != nil && !r.ended && r.host.stateNow() != "left" && l.isCalm(time.Now()) {
		l.broke("FLOW", "(a) the client of flow %s gets a reset that the flow's host %s didn't send", f.k, r.host.ip)
	}
}

// judgeFlows judges FLOW (b): for reorderMs three or more of a flow's packets reach other hosts and none its own.
func (l *lab) judgeFlows() {
	l.mu.Lock()
	type finding struct {
		k     key
		r     *flowRecord
		count int
		from  time.Time
	}
	var found []finding
	for k, r := range l.flows {
		for i, a := range r.arrivals {
			if a.host == r.host || !r.endedAt.IsZero() && r.endedAt.Before(a.at.Add(reorder)) {
				continue
			}
			count, own := 0, false
			if !r.leftAt.IsZero() && r.leftAt.Sub(a.at) < reorder {
				continue
			}
			for _, b := range r.arrivals[i:] {
				if b.at.Sub(a.at) > reorder {
					break
				}
				if b.host == r.host {
					own = true
					break
				}
				count++
			}
			if !own && count >= 3 && (!l.judgeCalm || slices.ContainsFunc(l.calm, func(c [2]time.Time) bool {
				return a.at.Sub(c[0]) >= stableWindow && a.at.Add(reorder).Before(c[1])
			})) {
				found = append(found, finding{k, r, count, a.at})
				break
			}
		}
	}
	l.mu.Unlock()
	for _, f := range found {
		l.broke("FLOW", "(b) flow %s, open at host %s for %.1f s: in the 2 s from %.3f on %d of its packets reach other hosts and none its own",
			f.k, f.r.host.ip, f.from.Sub(f.r.openedAt).Seconds(), f.from.Sub(l.start).Seconds(), f.count)
	}
}

// finish ends all processes and reports.
func (l *lab) finish() {
	killAll()
	l.mu.Lock()
	broken := slices.Clone(l.broken)
	l.mu.Unlock()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", l.dir)
	} else {
		os.RemoveAll(l.dir)
	}
	if len(broken) > 0 {
		l.log("result: broken, %d findings", len(broken))
		fmt.Println("broken:", broken[0])
		os.Exit(1)
	}
	l.log("result: held")
	fmt.Println("held")
	os.Exit(0)
}
