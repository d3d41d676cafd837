package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/member"
)

// The loss of a zone at the target size ends 5,000 hosts at once. All entries must learn of all the deaths while
// gossip stays within its cap. Each of 12 entries starts with the deaths of the hosts that it observed. Each
// record has a service of its own, so that deaths are not pushed to agents: an entry pushes them to the 25 agents
// that it watches at the target size, but would push them to 800 here.
func TestMassLossAtTargetSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lost, entries = 5_000, 12
		f := newFleet(t, 13, entries, 0)
		defer f.close()
		f.within(time.Minute, "entries converge", f.converged)
		records := make([]member.Record, lost)
		for i := range records {
			records[i] = benchRecord(member.RoleAgent, i)
			records[i].Service += config.ServiceTag(i % hostsPerService << 16)
		}
		for _, e := range f.entries {
			e.view.Merge(records)
		}
		time.Sleep(10 * time.Second)
		sealer, start := testSealer(t), time.Now()
		f.net.set(func(n *network) { clear(n.sent) })
		for i := range lost {
			message := Records{Ended: []wireSummary{toWireSummary(records[i].Summary().Ended())}}
			for k := range member.ObserverCount {
				to := f.entries[(i+k*7)%entries].addr
				data, err := seal(sealer, KindRecords, message, to)
				require.NoError(t, err)
				f.net.deliver(to, packet{data: data, from: address(9, i)})
			}
			if i%100 == 0 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		countDeaths := func() (total, fewest int) {
			fewest = lost
			for _, e := range f.entries {
				dead := 0
				for _, r := range e.view.Records() {
					if r.State == member.StateDead {
						dead++
					}
				}
				fewest, total = min(fewest, dead), total+dead
			}
			return total, fewest
		}
		for _, share := range []int{90, 99, 100} {
			f.within(4*time.Minute, "all entries have the deaths", func() bool {
				time.Sleep(2 * time.Second)
				total, fewest := countDeaths()
				return total >= lost*entries*share/100 && (share < 100 || fewest == lost)
			})
			t.Logf("%d%% known after %s", share, time.Since(start))
		}
		elapsed := time.Since(start)
		limit := DefaultGossipBytes*(elapsed+gossipBurst).Seconds() + member.HeartbeatBytesPerSecond*elapsed.Seconds()
		f.net.set(func(n *network) {
			for _, e := range f.entries {
				require.LessOrEqual(t, float64(n.sent[e.addr]), limit, "sent by %s", e.addr)
			}
		})
	})
}
