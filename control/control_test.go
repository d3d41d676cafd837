package control

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endiveflow.example/endiveflow/member"
)

// simulate runs a fleet with a fake clock in a synctest bubble and stops it at the end of the test.
func simulate(t *testing.T, seed uint64, entries, agents int, test func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, entries, agents)
		defer f.close()
		f.within(time.Minute, "the fleet converges", f.converged)
		test(f)
	})
}

func draining(r member.Record) member.Record { return r.WithState(member.StateDraining) }

// An upstream that leaves must receive no new work after 2 s, whichever entry its flows arrive at.
func TestDrainReachesAllEntriesWithinTwoSeconds(t *testing.T) {
	for seed := range uint64(2) {
		simulate(t, seed, 30, 30, func(f *fleet) {
			time.Sleep(time.Minute)
			f.net.set(func(n *network) { n.loss, n.repeat, n.delay = 0.1, 0.1, 30*time.Millisecond })
			for _, leaving := range f.agents[:6] {
				leaving.set(draining)
				f.within(2*time.Second, "all entries see the drain", func() bool {
					return f.entriesSee(leaving, member.StateDraining)
				})
			}
		})
	}
}

// A crashed agent must be dead in all views, although it does not report its end.
func TestCrashedAgentIsDeadEverywhere(t *testing.T) {
	simulate(t, 1, 5, 12, func(f *fleet) {
		f.kill(f.agents[0])
		f.within(10*time.Second, "all entries see it dead", func() bool { return f.entriesSee(f.agents[0], member.StateDead) })
		f.within(10*time.Second, "its peers see it dead", func() bool {
			r, _ := f.agents[1].view.Get(f.agents[0].id)
			return r.State == member.StateDead
		})
	})
}

// splitBy partitions the network into the addresses for which side returns true and the others.
func splitBy(side func(netip.AddrPort) bool) func(from, to netip.AddrPort) bool {
	return func(from, to netip.AddrPort) bool { return side(from) != side(to) }
}

func isOneOf(nodes ...*node) func(netip.AddrPort) bool {
	return func(a netip.AddrPort) bool {
		return slices.ContainsFunc(nodes, func(n *node) bool { return n.addr == a })
	}
}

// An entry that receives no messages must keep routing by its last view, and must catch up with missed changes
// afterwards, although the others declared it dead.
func TestPartitionedEntryKeepsItsView(t *testing.T) {
	simulate(t, 2, 5, 12, func(f *fleet) {
		partitioned := f.entries[4]
		f.net.setPartition(splitBy(isOneOf(partitioned)))
		time.Sleep(time.Minute)
		for _, a := range f.agents {
			r, _ := partitioned.view.Get(a.id)
			require.True(t, r.AcceptsFlows())
			require.False(t, partitioned.view.Suspect(a.id))
		}
		r, _ := f.entries[0].view.Get(partitioned.id)
		require.Equal(t, member.StateDead, r.State)
		f.agents[0].set(draining)
		f.net.setPartition(nil)
		f.within(20*time.Second, "views converge", f.converged)
	})
}

// In a partition each side declares the members of the other side dead. When it heals, all of them must become
// alive again in all views.
func TestPartitionHeals(t *testing.T) {
	simulate(t, 3, 8, 20, func(f *fleet) {
		f.net.setPartition(splitBy(isOneOf(append(f.entries[4:], f.agents[10:]...)...)))
		time.Sleep(2 * time.Minute)
		require.NotEmpty(t, f.agents[0].view.LiveEntries())
		f.agents[15].set(draining)
		f.net.setPartition(nil)
		f.within(time.Minute, "views converge", f.converged)
	})
}

// A live agent that was declared dead while it was unreachable must receive work again.
func TestAgentWronglyDeclaredDeadReturns(t *testing.T) {
	simulate(t, 4, 5, 12, func(f *fleet) {
		unreachable := f.agents[5]
		f.net.setPartition(splitBy(isOneOf(unreachable)))
		f.within(15*time.Second, "dead everywhere", func() bool { return f.entriesSee(unreachable, member.StateDead) })
		f.net.setPartition(nil)
		f.within(15*time.Second, "ready again", f.converged)
		require.NotEmpty(t, unreachable.refuted)
	})
}

// A paused agent that resumes after its record was removed must return, and a paused entry that resumes must not
// declare all others dead.
func TestPausedProcessesResume(t *testing.T) {
	simulate(t, 5, 5, 12, func(f *fleet) {
		for _, n := range []*node{f.agents[2], f.entries[2]} {
			resume := n.pause()
			time.Sleep(15 * time.Minute)
			resume()
			f.within(30*time.Second, "views converge", f.converged)
			for _, other := range f.agents {
				require.True(t, other == f.agents[2] || len(other.refuted) == 0, "%s was declared dead", other.addr)
			}
		}
	})
}

// The loss of an availability zone exceeds the limit of suspects. The remaining observers must still confirm the
// death of all its members.
func TestMassLossIsConfirmed(t *testing.T) {
	simulate(t, 6, 9, 90, func(f *fleet) {
		lostEntries, lostAgents := f.entries[6:], f.agents[50:]
		f.kill(append(append([]*node(nil), lostEntries...), lostAgents...)...)
		f.entries, f.agents = f.entries[:6], f.agents[:50]
		f.within(2*time.Minute, "all lost members are dead everywhere", func() bool {
			for _, n := range append(append([]*node(nil), lostEntries...), lostAgents...) {
				if !f.entriesSee(n, member.StateDead) {
					return false
				}
			}
			return true
		})
		for _, a := range f.agents {
			require.True(t, f.entriesSee(a, member.StateReady), "%s is alive", a.addr)
		}
	})
}

// New hosts must come into service while the seeds are down, as long as they reach one entry.
func TestAgentsJoinThroughAnyEntry(t *testing.T) {
	simulate(t, 7, 5, 4, func(f *fleet) {
		f.kill(f.entries[:2]...)
		f.entries = f.entries[2:]
		only := []netip.AddrPort{f.entries[1].addr}
		joined := f.addAgent(func() []netip.AddrPort { return only })
		f.within(5*time.Second, "all entries have its record", func() bool { return f.entriesSee(joined, member.StateReady) })
	})
}

// When all entries known to an agent are replaced, it must find the new ones.
func TestAllEntriesReplaced(t *testing.T) {
	simulate(t, 8, 3, 6, func(f *fleet) {
		for range 3 {
			old := f.entries[0]
			fresh := f.addEntry()
			require.NoError(t, fresh.entry.FetchState(t.Context(), f.client(), "https://"+f.entries[1].addr.String()+StatePath))
			for _, a := range f.agents {
				_, known := fresh.view.Get(a.id)
				require.True(t, known, "the fetched state lacks %s", a.addr)
			}
			old.set(func(r member.Record) member.Record { return r.WithState(member.StateLeft) })
			time.Sleep(time.Second)
			f.kill(old)
			f.entries = f.entries[1:]
			f.within(20*time.Second, "views converge", f.converged)
		}
	})
}

// Replayed datagrams must neither keep a dead agent alive nor restore its earlier state.
func TestReplayIsHarmless(t *testing.T) {
	simulate(t, 9, 3, 6, func(f *fleet) {
		f.net.set(func(n *network) { n.record = true })
		f.agents[1].set(draining)
		time.Sleep(20 * time.Second)
		f.net.set(func(n *network) { n.record = false })
		f.kill(f.agents[1])
		for range 200 {
			f.net.replay(f.agents[1].addr)
			time.Sleep(100 * time.Millisecond)
		}
		require.True(t, f.entriesSee(f.agents[1], member.StateDead))
	})
}

// A restarted process whose clock went back must learn that its incarnation is not the newest, or it would never
// receive work.
func TestRestartWithEarlierClockLearnsNewerIncarnation(t *testing.T) {
	simulate(t, 10, 3, 4, func(f *fleet) {
		old := f.agents[0]
		f.kill(old)
		restarted := f.newNode(member.RoleAgent, old.addr)
		restarted.self.Service, restarted.self.Incarnation = service, old.current().Incarnation-5
		f.agents[0] = restarted
		f.startAgent(restarted, f.seeds)
		f.within(5*time.Second, "it learns of its newer incarnation", func() bool {
			restarted.mu.Lock()
			defer restarted.mu.Unlock()
			return len(restarted.refuted) > 0 && restarted.refuted[0].Incarnation == old.current().Incarnation
		})
	})
}

// The last entry has no other entry to confirm a death. Agents must confirm it, or the entry would keep routing
// to crashed agents and listing crashed entries.
func TestLastEntryConfirmsDeathsThroughAgents(t *testing.T) {
	simulate(t, 14, 2, 6, func(f *fleet) {
		lost, crashed := f.entries[1], f.agents[2]
		f.kill(lost)
		f.entries = f.entries[:1]
		f.within(20*time.Second, "the other entry is dead", func() bool { return f.entriesSee(lost, member.StateDead) })
		f.kill(crashed)
		f.within(20*time.Second, "the agent is dead", func() bool { return f.entriesSee(crashed, member.StateDead) })
		time.Sleep(time.Minute)
		for _, a := range f.agents {
			require.True(t, a == crashed || f.entriesSee(a, member.StateReady), "%s is alive", a.addr)
		}
	})
}

// Real sockets differ from the fake ones in the form of addresses and in how a read ends.
func TestOverRealSockets(t *testing.T) {
	sockets := make(map[byte]net.PacketConn)
	f := newFleet(t, 15, 0, 0)
	f.listen = func(n *node) net.PacketConn { return sockets[n.addr.Addr().As4()[3]] }
	for host := byte(1); host <= 4; host++ {
		socket, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.%d:0", host))
		require.NoError(t, err)
		defer socket.Close()
		sockets[host] = socket
	}
	at := func(host byte) netip.AddrPort { return sockets[host].LocalAddr().(*net.UDPAddr).AddrPort() }
	seeds := func() []netip.AddrPort { return []netip.AddrPort{at(1)} }
	for host := byte(1); host <= 2; host++ {
		n := f.newNode(member.RoleEntry, at(host))
		f.entries = append(f.entries, n)
		f.seeds = seeds
		f.startEntry(n)
	}
	for host := byte(3); host <= 4; host++ {
		n := f.newNode(member.RoleAgent, at(host))
		n.self.Service = service
		f.agents = append(f.agents, n)
		f.startAgent(n, seeds)
	}
	f.within(20*time.Second, "the fleet converges", f.converged)
	f.entries[0].applyFromStore(object("Service/rota", 1, 0))
	f.within(10*time.Second, "in effect", func() bool { return f.inEffect(f.entries[0]) })
	f.close()
}

// Random combinations of faults must not restore an older state in any view, and views must converge once the
// faults end.
func TestRandomFaultsConverge(t *testing.T) {
	for seed := range uint64(2) {
		simulate(t, 100+seed, 9, 40, func(f *fleet) {
			f.net.set(func(n *network) { n.loss, n.repeat, n.delay = 0.2, 0.2, 200*time.Millisecond })
			seen := make(map[*node]map[member.ID]member.Summary)
			for round := range 6 {
				f.net.setPartition(splitBy(isOneOf(f.randomNode(f.entries), f.randomNode(f.entries), f.randomNode(f.agents), f.randomNode(f.agents))))
				f.randomNode(f.agents).set(func(r member.Record) member.Record { return r.WithWeight(uint8(round * 10)) })
				resume := f.randomNode(f.agents).pause()
				time.Sleep(time.Duration(f.rand.IntN(90)) * time.Second)
				resume()
				f.net.setPartition(nil)
				for _, e := range f.entries {
					now := make(map[member.ID]member.Summary)
					for _, r := range e.view.Records() {
						now[r.ID] = r.Summary()
						require.False(t, seen[e][r.ID].Newer(r.Summary()), "%s reverted from %v to %v", e.addr, seen[e][r.ID], r.Summary())
					}
					seen[e] = now
				}
			}
			f.net.set(func(n *network) { n.loss, n.repeat, n.delay = 0, 0, time.Millisecond })
			f.within(time.Minute, "views converge", f.converged)
		})
	}
}

func (f *fleet) randomNode(nodes []*node) *node { return nodes[f.rand.IntN(len(nodes))] }
