package soak

import (
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/packettest"
)

// Guards against a check of flows that misses packets at other hosts, or that reports them too early, after a fault of
// the flow's agent, or although the flow's host received a packet meanwhile.
func TestCheckLocation(t *testing.T) {
	const step = maxElsewhereTime / 4
	for _, c := range []struct {
		name string
		// packets has a letter for each step: o for a packet at the flow's host, x for one at another host, k for a
		// fault of the flow's agent.
		packets  string
		failures int
	}{
		{"elsewhere", "oxx  x", 1},
		{"elsewhere before the first own packet", "xx  x", 1},
		{"two packets", "x   x", 0},
		{"too short", "xxx", 0},
		{"own packet between", "xxoxx", 0},
		{"fault", "xxkxx", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				key, entry := packettest.Key(0), &process{}
				r := &run{cfg: Config{Out: io.Discard}, open: make(map[flow.Key]*openFlow), lastEntries: map[flow.Key]*process{key: entry}}
				own := &host{run: r, agent: &process{}, ip: netip.MustParseAddr("127.0.0.1")}
				other := &host{run: r, agent: &process{}, ip: netip.MustParseAddr("127.0.0.2")}
				r.recordOpen(own, key)
				for _, p := range c.packets {
					switch p {
					case 'o':
						r.checkLocation(own, key)
					case 'x':
						r.checkLocation(other, key)
					case 'k':
						own.agent.lastFault = time.Now()
					}
					time.Sleep(step)
				}
				require.Len(t, r.report.Failures, c.failures)
			})
		})
	}
}
