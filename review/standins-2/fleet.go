package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the small deployments that the rules use, see SYSTEM.md.
const (
	stableWindow   = 4 * time.Second
	configApply    = 3 * time.Second
	reorder        = 2 * time.Second
	grace          = 6 * time.Second
	minFlowPackets = 3
)

// ports are the ports of a day, the same on all machines.
type ports struct{ datagram, outbound, ready, control, host, internal, store uint16 }

// fleet is the deployment of one scenario.
type fleet struct {
	rec     *record
	dir     string
	network [2]byte
	ports   ports
	zones   []string
	store   *exec.Cmd
	trouble bool
	// hostsAfter is the time after the start of the agents at which their hosts start; 0 means before them. Machines start
	// their processes in any order, within 0.3 s.
	hostsAfter time.Duration

	mu        sync.Mutex
	processes []*process
	hosts     []*host
	rotation  []*process
	misses    map[*process]int
	done      bool
	version   uint64
	revision  uint64
	idleMs    int64
	// sent holds the requests that the client sent, runs the hosts that ran each.
	sent map[string]time.Duration
	runs map[string][]string
	// flows holds what hosts saw of each flow.
	flows map[flowKey]*flowRecord
	// disturbed is when a process was last killed, stopped, paused, cut or started.
	disturbed time.Duration
}

// flowRecord is what hosts saw of a flow.
type flowRecord struct {
	host          *host
	opened, ended time.Duration
	arrivals      []arrival
}

type arrival struct {
	at   time.Duration
	host *host
	what string
}

// newFleet returns a fleet in a random network, one that accepts admits if it isn't nil.
func newFleet(rec *record, zones []string, accepts func(*fleet) bool) (*fleet, error) {
	dir, err := os.MkdirTemp("", "reviewfleet")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		rec: rec, dir: dir, zones: zones, trouble: os.Getenv("TROUBLE") != "0", misses: make(map[*process]int), sent: make(map[string]time.Duration),
		runs: make(map[string][]string), flows: make(map[flowKey]*flowRecord), idleMs: 60000,
	}
	for range 2000 {
		f.network = [2]byte{byte(16 + rand.IntN(200)), byte(rand.IntN(256))}
		if (accepts == nil || accepts(f)) && f.choosePorts() {
			running.Store(f)
			return f, nil
		}
	}
	return nil, errors.New("no free ports")
}

// choosePorts chooses ports that are free on the first addresses.
func (f *fleet) choosePorts() bool {
	base := uint16(20000 + rand.IntN(8000))
	f.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 10, base + 5}
	for _, n := range []int{1, 40, 200} {
		for port := base; port < base+20; port++ {
			l, err := net.Listen("tcp4", netip.AddrPortFrom(f.address(n), port).String())
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) address(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network[0], f.network[1], byte(n)})
}

func (f *fleet) ended() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done
}

// startStore starts the project's stand-in of the store.
func (f *fleet) startStore() error {
	at := netip.AddrPortFrom(f.address(200), f.ports.store).String()
	file := filepath.Join(f.dir, "store.yaml")
	if err := os.WriteFile(file, []byte("listenAddress: "+at+"\n"), 0o600); err != nil {
		return err
	}
	f.store = exec.Command("target/endiveflow", "standin", "platform", "--settings", file)
	if err := f.startCommand(f.store, "store"); err != nil {
		return err
	}
	for range 100 {
		if res, err := http.Get("http://" + at + "/objects/config"); err == nil {
			_ = res.Body.Close()
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the store does not answer")
}

func (f *fleet) startCommand(c *exec.Cmd, name string) error {
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c.Start()
}

// route is a route of the configuration.
type route struct {
	name, service string
	at            end
}

// configure writes the next version of the configuration, as the operator does, and returns when it was acknowledged.
func (f *fleet) configure(routes ...route) (time.Duration, error) {
	f.version += 1 + uint64(rand.IntN(4))
	var list, services []map[string]any
	known := map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.at.ip.String(), "pathPrefix": fmt.Sprintf("/%d/", r.at.port), "service": r.service,
			"type": "idempotent", "timeoutMs": 8000, "targetLatencyMs": 500, "priority": 2,
		})
		if !known[r.service] {
			known[r.service] = true
			services = append(services, map[string]any{"name": r.service, "healthPath": "/health"})
		}
	}
	spec := map[string]any{"version": f.version, "routes": list, "services": services, "limits": map[string]any{"idleTimeoutMs": f.idleMs}}
	url, method := "http://"+netip.AddrPortFrom(f.address(200), f.ports.store).String()+"/objects/config", http.MethodPost
	if f.revision > 0 {
		url, method = url+"/main", http.MethodPut
	}
	body, err := json.Marshal(map[string]any{"meta": map[string]any{"name": "main", "revision": f.revision}, "spec": spec})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	var o struct{ Meta struct{ Revision uint64 } }
	if err := json.NewDecoder(res.Body).Decode(&o); err != nil || res.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("the store answered %d", res.StatusCode)
	}
	f.revision = o.Meta.Revision
	text := ""
	for _, r := range routes {
		text += fmt.Sprintf(" %s to %s", r.at, r.service)
	}
	f.rec.add("configuration %d is acknowledged:%s", f.version, text)
	return f.rec.now(), nil
}

// process is an entry or an agent.
type process struct {
	f          *fleet
	name, role string
	ip         netip.Addr
	file       string
	proxy      *proxy
	cmd        *exec.Cmd
	exited     chan struct{}
}

// newProcess prepares a process with its settings file.
func (f *fleet) newProcess(name, role, zone, service string, ip netip.Addr) (*process, error) {
	x, err := f.newProxy()
	if err != nil {
		return nil, err
	}
	p := &process{f: f, name: name, role: role, ip: ip, file: filepath.Join(f.dir, name+".toml"), proxy: x}
	if err := os.WriteFile(p.file, []byte(f.settings(p, zone, service)), 0o600); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p, nil
}

func (f *fleet) settings(p *process, zone, service string) string {
	at := func(port uint16) string { return netip.AddrPortFrom(p.ip, port).String() }
	class, serves, app, outbound := "frontend", `"frontend","control_plane"`, "", ""
	if p.role == "agent" {
		class, serves = "side", `"side"`
		app = fmt.Sprintf("service = %q\napp = %q\n", service, at(f.ports.host))
		outbound = fmt.Sprintf("outbound = %q\n", at(f.ports.outbound))
	}
	zones := ""
	for _, z := range f.zones {
		zones += z + " = \"region\"\n"
	}
	return fmt.Sprintf(`nodeName = %q
role = %q
machineClass = %q
serves = [%s]
ip = %q
zone = %q
region = "region"
internalPortRange = [%d,%d]
seeds = [%q]
bootstrap = true
inFailureDomain = false
discovery = "local"
entryMode = "bgp_announce"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","flows","platform"]
hash = "mod"
deploymentMode = "agent"
%s[zones]
%s[listenAddrs]
datagramAddr = %q
readinessAddr = %q
control = %q
%s[limits]
cpuShare = 0.4
cpuSpeedFactor = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
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
`, p.name, p.role, class, serves, p.ip, zone, f.ports.internal, f.ports.internal+9, netip.AddrPortFrom(f.address(1), f.ports.control).String(), app, zones,
		at(f.ports.datagram), at(f.ports.ready), at(f.ports.control), outbound, p.proxy.listener.Addr().String())
}

func (p *process) start() error {
	if p.f.ended() {
		return errors.New("the scenario has ended")
	}
	p.cmd = exec.Command("target/endiveflow-node", p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ENDIVEFLOW_NODE_FILE=" + p.file}
	if err := p.f.startCommand(p.cmd, p.name); err != nil {
		return err
	}
	p.f.disturb("%s starts", p.name)
	exited, cmd := make(chan struct{}), p.cmd
	p.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that this scenario started.
func (p *process) signal(s syscall.Signal) {
	p.f.disturb("%s gets %s", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// stopAndStart stops the process as the platform does, and starts it again.
func (p *process) stopAndStart() error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	time.Sleep(300 * time.Millisecond)
	return p.start()
}

// killAndStart kills the process, and starts it again after a short delay.
func (p *process) killAndStart() error {
	p.signal(syscall.SIGKILL)
	<-p.exited
	time.Sleep(200 * time.Millisecond)
	return p.start()
}

func (f *fleet) disturb(format string, args ...any) {
	f.rec.add(format, args...)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbed = f.rec.now()
}

// proxy passes the connections of one process to the store.
type proxy struct {
	f        *fleet
	listener net.Listener
	cut      atomic.Bool
}

func (f *fleet) newProxy() (*proxy, error) {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(f.address(201), 0).String())
	if err != nil {
		return nil, err
	}
	x := &proxy{f: f, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.serve(c)
		}
	}()
	return x, nil
}

// serve passes one connection on. While the process is cut off, nothing passes in either direction.
func (x *proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	x.hold()
	s, err := net.Dial("tcp4", netip.AddrPortFrom(x.f.address(200), x.f.ports.store).String())
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	go func() { _, _ = io.Copy(heldWriter{s, x}, c); _ = s.Close() }()
	_, _ = io.Copy(heldWriter{c, x}, s)
}

// hold waits while the process is cut off.
func (x *proxy) hold() {
	for x.cut.Load() && !x.f.ended() {
		time.Sleep(5 * time.Millisecond)
	}
}

type heldWriter struct {
	net.Conn
	x *proxy
}

func (w heldWriter) Write(b []byte) (int, error) {
	w.x.hold()
	return w.Conn.Write(b)
}

// routers checks the readiness of entries twice a second: two misses take one out of rotation.
func (f *fleet) routers() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for !f.ended() {
		var ready []*process
		for _, p := range f.entries() {
			res, err := client.Get("http://" + netip.AddrPortFrom(p.ip, f.ports.ready).String() + "/ready")
			f.misses[p]++
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					f.misses[p] = 0
				}
			}
			if f.misses[p] < 2 {
				ready = append(ready, p)
			}
		}
		f.mu.Lock()
		f.rotation = ready
		f.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

func (f *fleet) entries() (out []*process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if p.role == "entry" {
			out = append(out, p)
		}
	}
	return out
}

// routerPick returns the entry that gets a packet of a flow.
func (f *fleet) routerPick(key flowKey) *process {
	f.mu.Lock()
	ready := f.rotation
	f.mu.Unlock()
	if len(ready) == 0 {
		ready = f.entries()
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, key.String())
	return ready[h.Sum64()%uint64(len(ready))]
}

// awaitReady waits until all entries are in rotation and the hosts have reported.
func (f *fleet) awaitReady() error {
	for range 200 {
		f.mu.Lock()
		n := len(f.rotation)
		f.mu.Unlock()
		if n == len(f.entries()) {
			time.Sleep(5 * time.Second)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the entries did not become ready")
}

// addMachine starts the host of a machine whose clock is ahead by some time, and its agent.
func (f *fleet) addMachine(n int, service, name, zone string, ahead time.Duration) (*process, error) {
	if err := f.addHost(n, service, name, zone, ahead); err != nil {
		return nil, err
	}
	return f.addAgent(n, service, name, zone)
}

func (f *fleet) addHost(n int, service, name, zone string, ahead time.Duration) error {
	h, err := f.startHost(service+"-"+name, service, zone, f.address(n), ahead)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append(f.hosts, h)
	return nil
}

func (f *fleet) addAgent(n int, service, name, zone string) (*process, error) {
	p, err := f.newProcess("agent-"+service+"-"+name, "agent", zone, service, f.address(n))
	if err != nil {
		return nil, err
	}
	return p, p.start()
}

// killAll kills all entries and agents at the same moment and starts them again after a short delay. Hosts keep running.
func (f *fleet) killAll() error {
	for _, p := range f.processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range f.processes {
		<-p.exited
	}
	time.Sleep(500 * time.Millisecond)
	for _, p := range f.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// startAll starts hosts of services, their agents, and entries, all within 0.3 s.
func (f *fleet) startAll(entryZones []string, services map[string]int, order []string) error {
	if err := f.startStore(); err != nil {
		return err
	}
	n := 40
	var later []func() error
	for _, service := range order {
		for i := range services[service] {
			number, name, zone := n, fmt.Sprint(i+1), f.zones[i%len(f.zones)]
			n++
			if f.hostsAfter == 0 {
				if _, err := f.addMachine(number, service, name, zone, 0); err != nil {
					return err
				}
				continue
			}
			if _, err := f.addAgent(number, service, name, zone); err != nil {
				return err
			}
			later = append(later, func() error { return f.addHost(number, service, name, zone, 0) })
		}
	}
	time.Sleep(f.hostsAfter)
	for _, start := range later {
		if err := start(); err != nil {
			return err
		}
	}
	for i, zone := range entryZones {
		p, err := f.newProcess(fmt.Sprintf("entry-%d", i+1), "entry", zone, "", f.address(1+i))
		if err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	go f.routers()
	return nil
}

// stopAll ends all processes and stand-ins.
func (f *fleet) stopAll() {
	f.mu.Lock()
	if f.done {
		f.mu.Unlock()
		return
	}
	f.done = true
	processes, hosts := f.processes, f.hosts
	f.mu.Unlock()
	for _, p := range processes {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
		_ = p.proxy.listener.Close()
	}
	for _, h := range hosts {
		h.stop()
	}
	if f.store != nil && f.store.Process != nil {
		_ = f.store.Process.Kill()
		_ = f.store.Wait()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = exec.Command("cp", "-r", f.dir, keep).Run()
	}
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) noteSent(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[id] = f.rec.now()
}

func (f *fleet) noteArrival(h *host, key flowKey, p packet) {
	f.rec.add("host %s gets a packet of %s: %s", h.name, key, p.kind())
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.flows[key]
	if r == nil {
		r = &flowRecord{}
		f.flows[key] = r
	}
	r.arrivals = append(r.arrivals, arrival{f.rec.now(), h, p.kind()})
}

func (f *fleet) noteOpen(h *host, key flowKey) {
	f.rec.add("flow %s is open at host %s", key, h.name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.flows[key].host, f.flows[key].opened = h, f.rec.now()
}

func (f *fleet) noteEnd(h *host, key flowKey) {
	f.rec.add("flow %s ends at host %s", key, h.name)
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.flows[key]; r != nil && r.host == h {
		r.ended = f.rec.now()
	}
}

// noteGivenUp records that the client gives up a request at its deadline. What happens to the flow later isn't judged.
func (f *fleet) noteGivenUp(key flowKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.flows[key]; r != nil && r.ended == 0 {
		r.ended = f.rec.now()
	}
}

// noteRun records that a host begins to work on a request.
func (f *fleet) noteRun(h *host, key flowKey, r request) {
	f.rec.add("host %s runs request %s on %s", h.name, r.id, key)
	f.mu.Lock()
	_, sent := f.sent[r.id]
	f.runs[r.id] = append(f.runs[r.id], h.service)
	f.mu.Unlock()
	if !sent {
		f.rec.breakRule("UNASKED", "host %s runs request %s, which no client sent", h.name, r.id)
	}
}

// noteReset checks a reset that the system sent on an open flow: its host must not have the flow any more.
func (f *fleet) noteReset(key flowKey) {
	f.mu.Lock()
	r := f.flows[key]
	open := r != nil && r.host != nil && r.ended == 0
	disturbed := f.disturbed
	f.mu.Unlock()
	if open {
		f.rec.breakRule("FLOW", "(a) the client got a reset of %s that host %s didn't send, %.1f s after the last disruption", key, r.host.name, (f.rec.now() - disturbed).Seconds())
	}
}

// judgeFlows checks FLOW (b): for reorderMs from the arrival of a packet at another host on, three or more packets of an open
// flow reach other hosts and none its own. Only packets since from count.
func (f *fleet) judgeFlows(from time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.rec.now()
	for key, r := range f.flows {
		if r.host == nil {
			continue
		}
		last := now
		if r.ended > 0 {
			last = r.ended
		}
		start := max(r.opened, from)
		var others []arrival
		check := func(end time.Duration) {
			for i := 0; i+minFlowPackets <= len(others); i++ {
				first, third := others[i].at, others[i+minFlowPackets-1].at
				if third <= first+reorder && end >= first+reorder {
					text := ""
					for _, o := range others {
						text += fmt.Sprintf(" %s at %.3f s,", o.host.name, o.at.Seconds())
					}
					f.rec.mu.Lock()
					line := fmt.Sprintf("FLOW broken: (b) from %.3f to %.3f s, packets of %s reach other hosts (%s) and none its own, %s",
						start.Seconds(), end.Seconds(), key, strings.Trim(text, " ,"), r.host.name)
					_, _ = fmt.Fprintf(f.rec.file, "%9.4f s  %s\n", f.rec.now().Seconds(), line)
					f.rec.broken = append(f.rec.broken, line)
					f.rec.mu.Unlock()
					return
				}
			}
		}
		for _, a := range r.arrivals {
			switch {
			case a.at < start || a.at > last:
				if a.host == r.host && a.at < last {
					start = max(start, a.at)
				}
			case a.host == r.host:
				check(a.at)
				start, others = a.at, nil
			default:
				others = append(others, a)
			}
		}
		check(last)
	}
}
