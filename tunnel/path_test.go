package tunnel

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	entryA = netip.MustParseAddrPort("10.0.0.1:4000")
	entryB = netip.MustParseAddrPort("10.0.0.2:4000")
	caller = netip.MustParseAddrPort("192.0.2.1:5000")
)

// step is one event of a path: a packet received through the entry via or, if via is not set, a packet
// sent, which must go through the entry want.
type step struct {
	after time.Duration
	via   netip.AddrPort
	want  netip.AddrPort
}

func received(after time.Duration, e netip.AddrPort) step { return step{after: after, via: e} }
func send(after time.Duration, e netip.AddrPort) step     { return step{after: after, want: e} }

// Answers must move away from a failed entry, or the flow breaks, but not from a working one because the
// caller is idle, which would make the path unstable.
func TestReturnPath(t *testing.T) {
	const ms = time.Millisecond
	both := []netip.AddrPort{entryA, entryB}
	for name, c := range map[string]struct {
		live  []netip.AddrPort
		steps []step
	}{
		"follows the caller":      {both, []step{received(0, entryA), send(ms, entryA), received(ms, entryB), send(ms, entryB)}},
		"moves after 1 s":         {both, []step{received(0, entryA), send(ms, entryA), send(59*ms, entryA), send(900*ms, entryA), send(50*ms, entryB)}},
		"moves on while silent":   {both, []step{received(0, entryA), send(100*ms, entryA), send(time.Second, entryB), send(time.Second, entryA)}},
		"idle caller":             {both, []step{received(0, entryA), send(20*ms, entryA), send(time.Minute, entryA), send(100*ms, entryA), received(ms, entryA), send(time.Minute, entryA)}},
		"slow probes":             {both, []step{received(0, entryA), send(ms, entryA), send(1500*ms, entryA), send(3*time.Second, entryB)}},
		"entry no longer live":    {[]netip.AddrPort{entryB}, []step{received(0, entryA), send(ms, entryA), send(time.Minute, entryB)}},
		"no other entry":          {[]netip.AddrPort{entryA}, []step{received(0, entryA), send(time.Minute, entryA), send(time.Minute, entryA)}},
		"no live entry":           {nil, []step{received(0, entryA), send(time.Minute, entryA), send(time.Minute, entryA)}},
		"no packet of caller yet": {[]netip.AddrPort{entryB}, []step{send(0, entryB)}},
	} {
		t.Run(name, func(t *testing.T) {
			var p path
			p.init(caller)
			now := time.Unix(1, 0)
			for i, s := range c.steps {
				now = now.Add(s.after)
				if s.via.IsValid() {
					p.received(s.via, netip.AddrPort{}, now)
					continue
				}
				require.Equal(t, s.want, p.chooseEntry(c.live, now), "step %d", i)
			}
		})
	}
}

// Callers come and go all the time, so the state of a Conn must stay bounded, but active callers must not
// be evicted.
func TestRecentMapIsBounded(t *testing.T) {
	const keys = 10 * recentShards
	r := newRecentMap[int](keys)
	active := recentKey{caller: caller}
	for n := range uint64(100 * keys) {
		r.with(recentKey{caller: caller, flight: n}, true, func(v *int) { *v = 1 })
		require.True(t, r.with(active, n == 0, func(*int) {}))
	}
	held := 0
	for i := range r.shards {
		held += len(r.shards[i].young) + len(r.shards[i].old)
	}
	require.LessOrEqual(t, held, 2*keys)
	require.False(t, r.with(recentKey{caller: caller, flight: 1}, false, func(*int) {}))
}
