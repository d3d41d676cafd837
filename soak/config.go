package soak

import (
	"fmt"
	"io"
	"net/netip"
	"time"
)

// Config configures a run.
type Config struct {
	// Program is the path of the endiveflow-node program.
	Program string
	// Dir receives the settings and logs of the processes.
	Dir string
	// Seed determines the faults.
	Seed uint64
	// FaultTime is how long faults are injected; SettleTime is the time without faults that follows.
	FaultTime, SettleTime time.Duration
	// FormerProgram is the path of an earlier build of the program: the processes of the start run it until they are restarted, as in
	// an upgrade. "" means that all run Program.
	FormerProgram string
	// Entries and Hosts are the numbers of processes. A quarter of the hosts, but at least one, belong to a
	// second service, which must receive no flows but those of the route that Moves adds.
	Entries, Hosts int
	// Restores adds restores of the store from older copies to the faults.
	Restores bool
	// Series adds rolling restarts, series of reloads and configuration changes, and hosts that join and leave, to
	// the faults.
	Series bool
	// Evacuations spreads entries and hosts over three zones and adds evacuations of a zone to the faults.
	Evacuations bool
	// MassFailures adds failures of all processes at once, with and without their hosts, to the faults.
	MassFailures bool
	// Moves adds a route that is led from one service to the other and back to the faults.
	Moves bool
	// FlowsPerSecond is the number of flows that callers open per second.
	FlowsPerSecond int
	// Out receives a line for each fault and failure; nil means none.
	Out io.Writer
}

// Defaults of Config.
const (
	DefaultFaultTime      = 30 * time.Second
	DefaultSettleTime     = 8 * time.Second
	DefaultEntries        = 3
	DefaultHosts          = 5
	DefaultFlowsPerSecond = 60
)

func (c Config) withDefaults() Config {
	if c.FaultTime <= 0 {
		c.FaultTime = DefaultFaultTime
	}
	if c.SettleTime <= 0 {
		c.SettleTime = DefaultSettleTime
	}
	if c.Entries <= 0 {
		c.Entries = DefaultEntries
	}
	if c.Hosts <= 1 {
		c.Hosts = DefaultHosts
	}
	if c.FlowsPerSecond <= 0 {
		c.FlowsPerSecond = DefaultFlowsPerSecond
	}
	if c.Out == nil {
		c.Out = io.Discard
	}
	return c
}

// Ports that every VM of the run uses on its own loopback address.
const (
	packetsPort  = 21170
	outputPort   = 21171
	readyPort    = 21172
	controlPort  = 21173
	hostPort     = 21174
	internalPort = 21180
)

// Bounds required by the platform, which the run checks.
const (
	maxDrainDelay  = 3 * time.Second
	maxConfigDelay = 3 * time.Second
	// undisturbedTime is how long a process must have run undisturbed before a bound is checked.
	undisturbedTime   = 4 * time.Second
	stopGrace         = 6 * time.Second
	heartbeatInterval = 500 * time.Millisecond
)

// address returns the nth address of a kind in the run's network.
func (r *run) address(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, r.network[0], r.network[1], byte(kind + n)})
}

// Kinds of addresses, each with the last byte of its first address.
const (
	entryKind  = 1
	hostKind   = 40
	callerKind = 250
	// maxHosts is the number of hosts that a run may have, with those that left.
	maxHosts = callerKind - hostKind
)

// settings returns a process's settings file in the platform's format.
func (r *run) settings(role string, ip netip.Addr, zone, service string) string {
	seeds := fmt.Sprintf("%q", netip.AddrPortFrom(r.address(entryKind, 0), controlPort))
	text := fmt.Sprintf(`nodeName = "%s-%s"
ip = "%s"
zone = %q
internalPortRange = [%d,%d]
seeds = [%s]
heartbeatMs = %d
`, role, ip, ip, zone, internalPort, internalPort+9, seeds, heartbeatInterval.Milliseconds())
	if service != "" {
		text += fmt.Sprintf("service = %q\napp = \"%s:%d\"\n", service, ip, hostPort)
	}
	text += fmt.Sprintf(`[listenAddrs]
datagramAddr = "%s:%d"
readinessAddr = "%s:%d"
control = "%s:%d"
`, ip, packetsPort, ip, readyPort, ip, controlPort)
	if service != "" {
		text += fmt.Sprintf("outbound = \"%s:%d\"\n", ip, outputPort)
	}
	text += fmt.Sprintf("[bounds]\ngraceS = %d\n", int(stopGrace.Seconds()))
	if r.cfg.Evacuations {
		text += fmt.Sprintf("evacuateMs = %d\n", maxEvacuateDelay.Milliseconds())
	}
	return text + fmt.Sprintf("[platform]\naddress = %q\n", r.proxy.Addr())
}
