package packettest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/packettest"
)

// A fleet with long flows, as of the records platform: each flow sends a request every restartPause.
const (
	restartEntries, restartAgents, restartFlows = 18, 48, 3600
	restartPause                                = 2700 * time.Millisecond
)

// newFleetWithLongFlows returns a fleet whose hosts started long before their agents, and the callers of its open flows.
func newFleetWithLongFlows() (*packettest.Fleet, []*packettest.Caller) {
	f := packettest.NewFleet(1)
	for n := range restartEntries {
		f.AddEntry(packettest.Address(1 + n))
	}
	for n := range restartAgents {
		h := f.AddAgent(packettest.Address(100+n), packettest.FirstService).Host
		h.StartedAt, h.WorkTime, h.Slots = h.StartedAt-time.Hour.Milliseconds(), 15*time.Millisecond, 2
	}
	f.Run(time.Second)
	callers := packettest.NewCallers(f)
	all := make([]*packettest.Caller, 0, restartFlows)
	for n := range restartFlows {
		all = append(all, callers.Start(f, packettest.Key(n), func() *packettest.Entry { return f.Entries[n%restartEntries] }))
		f.Run(time.Millisecond)
	}
	f.Run(2 * time.Second)
	return f, all
}

// searchTraffic is what entries sent in a span of time.
type searchTraffic struct {
	// perFlow is the number of datagrams of searches per flow, peakShare the largest share of a link of 10 Mbit/s that an entry
	// sent in a second.
	perFlow, peakShare float64
}

// playRequests has each flow send one request within restartPause, and measures for a while.
func playRequests(f *packettest.Fleet, all []*packettest.Caller, span time.Duration) (s searchTraffic) {
	for n, c := range all {
		f.After(time.Duration(n*7919%len(all))*restartPause/time.Duration(len(all)), c.Request)
	}
	searches := 0
	for range int(span / time.Second) {
		clear(f.Traffic)
		f.Run(time.Second)
		for _, e := range f.Entries {
			if t := f.Traffic[e.IP]; t != nil {
				s.peakShare = max(s.peakShare, float64(t.Bytes)*8/10e6)
				searches += t.Searches
			}
		}
	}
	s.perFlow = float64(searches) / float64(len(all))
	return s
}

// Guards against a search that fills the links of entries when all processes restart beside running hosts: no process has a
// record of any flow, and each flow is looked for. It also guards against resets and losses of these flows.
func TestLongFlowsAfterRestartOfAllProcesses(t *testing.T) {
	f, all := newFleetWithLongFlows()
	f.RestartProcesses()
	f.Run(1500 * time.Millisecond)
	s := playRequests(f, all, 6*time.Second)
	answered := 0
	for _, c := range all {
		require.False(t, c.Reset)
		if c.Answers == 2 {
			answered++
		}
	}
	t.Logf("%d of %d flows answered, %+v", answered, len(all), s)
	require.Equal(t, len(all), answered)
	require.Less(t, s.perFlow, 16.0)
	require.Less(t, s.peakShare, 0.5)
	require.Empty(t, f.Violations)
}

// Guards against searches for flows that no host has, after a loss of power, whose datagrams grow with the copies that callers
// send.
func TestLongFlowsAfterLossOfPower(t *testing.T) {
	f, all := newFleetWithLongFlows()
	f.PowerOff(time.Second)
	f.Run(2500 * time.Millisecond)
	s := playRequests(f, all, 6*time.Second)
	t.Logf("%+v", s)
	require.Less(t, s.perFlow, 32.0)
	require.Less(t, s.peakShare, 0.5)
}
