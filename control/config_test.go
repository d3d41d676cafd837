package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/member"
)

// applyFromStore applies an object on one entry as the watcher of the store does.
func (n *node) applyFromStore(b []byte) {
	_ = n.objects.apply(b)
	n.applied <- b
}

// inEffect reports whether all processes have the same configuration as a node.
func (f *fleet) inEffect(reference *node) bool {
	want, _ := reference.objects.all()
	for _, n := range append(append([]*node(nil), f.entries...), f.agents...) {
		if got, _ := n.objects.all(); got != want {
			return false
		}
	}
	return true
}

// An accepted change must take effect everywhere within seconds, even if datagrams are lost or the object does
// not fit in a datagram.
func TestConfigReachesAllNodes(t *testing.T) {
	for _, padding := range []int{0, 900, 100_000} {
		t.Run(fmt.Sprintf("%d bytes", padding), func(t *testing.T) {
			simulate(t, 11, 12, 30, func(f *fleet) {
				f.net.set(func(n *network) { n.loss = 0.1 })
				for version := range uint64(3) {
					f.entries[4].applyFromStore(object("Service/rota", 1+version, padding))
					f.within(10*time.Second, "in effect", func() bool { return f.inEffect(f.entries[4]) })
				}
			})
		})
	}
}

// When every entry is replaced at once, agents must have moved to the new ones before the old ones end. An agent
// whose observers both left received no configuration changes for up to 4 s, until it had missed their answers.
func TestConfigReachesAgentsOfReplacedEntries(t *testing.T) {
	simulate(t, 13, 3, 12, func(f *fleet) {
		old := f.entries
		for range old {
			f.addEntry()
		}
		f.within(20*time.Second, "views converge", f.converged)
		for _, e := range old {
			e.set(draining)
		}
		time.Sleep(time.Second)
		for _, e := range old {
			e.set(func(r member.Record) member.Record { return r.WithState(member.StateLeft) })
		}
		time.Sleep(200 * time.Millisecond)
		f.kill(old...)
		f.entries = f.entries[len(old):]
		f.entries[0].applyFromStore(object("Service/rota", 9, 300))
		f.within(2*time.Second, "in effect", func() bool { return f.inEffect(f.entries[0]) })
	})
}

// A late copy of an older version must not replace a newer one, and entries that missed many changes during a
// partition must catch up.
func TestConfigNeverReverts(t *testing.T) {
	simulate(t, 12, 6, 8, func(f *fleet) {
		f.net.setPartition(splitBy(isOneOf(f.entries[5])))
		for i := range 200 {
			f.entries[0].applyFromStore(object(fmt.Sprintf("Service/s%d", i%100), uint64(1+i), 300))
			time.Sleep(20 * time.Millisecond)
		}
		f.entries[5].applyFromStore(object("Service/s0", 5, 300))
		f.net.setPartition(nil)
		f.within(2*time.Minute, "in effect", func() bool { return f.inEffect(f.entries[0]) })
		newest, _ := f.entries[0].objects.all()
		time.Sleep(time.Minute)
		after, _ := f.entries[0].objects.all()
		require.Equal(t, newest, after)
		require.True(t, f.inEffect(f.entries[0]))
		require.Equal(t, object("Service/s0", 101, 300), f.entries[5].objects.objects["Service/s0"])
	})
}
