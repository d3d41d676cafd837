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
	"endiveflow.example/endiveflow/standin"
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

// Guards against a check of evacuations that misses late opening packets, or reports those that a disturbed store, a
// disturbed process or the loss of all processes explains.
func TestCheckEvacuation(t *testing.T) {
	for _, c := range []struct {
		name string
		// change happens 10 s after the evacuation was acknowledged; an opening packet arrives wait later.
		change   func(r *run, h *host)
		wait     time.Duration
		failures int
	}{
		{"late", func(*run, *host) {}, 0, 1},
		{"other zone", func(_ *run, h *host) { h.zone = "b" }, 0, 0},
		{"withdrawn", func(r *run, _ *host) { r.evacuated = nil }, 0, 0},
		{"within the bound", func(r *run, _ *host) { r.evacuated.ackedAt = time.Now() }, maxEvacuateDelay, 0},
		{"just after the bound", func(r *run, _ *host) { r.evacuated.ackedAt = time.Now() }, maxEvacuateDelay + 1, 1},
		{"store down", func(r *run, _ *host) { r.setOutage(true) }, time.Second, 0},
		{"store back", func(r *run, _ *host) { r.setOutage(true); r.setOutage(false) }, time.Second, 1},
		{"agent started", func(_ *run, h *host) { h.agent.lastStart = time.Now() }, evacuationDisturbedTime, 0},
		{"agent started long ago", func(_ *run, h *host) { h.agent.lastStart = time.Now() }, evacuationDisturbedTime + 1, 1},
		{"agent paused", func(_ *run, h *host) { h.agent.paused = true }, time.Minute, 0},
		{"all killed", func(r *run, _ *host) { r.killAll(nil) }, evacuationDisturbedTime, 0},
		{"all killed long ago", func(r *run, _ *host) { r.killAll(nil) }, evacuationDisturbedTime + 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				key, entry := packettest.Key(0), &process{}
				r := &run{
					cfg: Config{Out: io.Discard}, entries: []*process{entry}, lastEntries: map[flow.Key]*process{key: entry}, proxy: &proxy{},
					store: standin.NewPlatform(standin.PlatformConfig{}), evacuated: &evacuation{zone: "a", ackedAt: time.Now()},
				}
				h := &host{run: r, agent: &process{}, zone: "a"}
				time.Sleep(10 * time.Second)
				c.change(r, h)
				time.Sleep(c.wait)
				r.checkEvacuation(h, key)
				require.Len(t, r.report.Failures, c.failures)
			})
		})
	}
}

// Guards against a check of resets that misses one of an open flow, also after its caller gave up, or that reports those
// of flows that their hosts lost or ended.
func TestCheckReset(t *testing.T) {
	const initialSeq, ack = 100, 5000
	for _, c := range []struct {
		name                        string
		change                      func(f *hostFlow, h *host)
		seq                         uint32
		failures, lost, disregarded int
	}{
		{"open", func(*hostFlow, *host) {}, ack, 1, 0, 0},
		{"open, at the edge of the window", func(*hostFlow, *host) {}, ack + resetWindow, 1, 0, 0},
		{"open, before the acknowledgement", func(*hostFlow, *host) {}, 1<<32 + ack - resetWindow, 1, 0, 0},
		{"open, number far away", func(*hostFlow, *host) {}, ack + 2*flow.Window, 0, 0, 1},
		{"ended by the host", func(f *hostFlow, _ *host) { f.ended = true }, ack, 0, 1, 0},
		{"host down", func(_ *hostFlow, h *host) { h.running = false }, ack, 0, 1, 0},
		{"other incarnation of the flow", func(f *hostFlow, _ *host) { f.initialSeq++ }, ack, 0, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			key, f := packettest.Key(0), &hostFlow{initialSeq: initialSeq}
			r := &run{cfg: Config{Out: io.Discard}}
			h := &host{run: r, running: true, flows: map[flow.Key]*hostFlow{key: f}}
			r.hosts = []*host{h}
			vm := &callerVM{run: r, numbers: map[flow.Key]flowNumbers{key: {initialSeq: initialSeq, ack: ack}}}
			c.change(f, h)
			vm.receive(packettest.Packet{Flow: key, FromHost: true, Flags: packettest.RST, Seq: c.seq}.Bytes())
			require.Len(t, r.report.Failures, c.failures)
			require.Equal(t, c.lost, r.report.Resets)
			require.Equal(t, c.disregarded, r.report.DisregardedResets)
		})
	}
}
