package packetagent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endiveflow.example/endiveflow/flow"
	"endiveflow.example/endiveflow/host"
	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/packetagent"
	"endiveflow.example/endiveflow/packettest"
	"endiveflow.example/endiveflow/placement"
	"endiveflow.example/endiveflow/platform"
	_ "endiveflow.example/endiveflow/testseed"
)

// warmupRate is the limit of the service in these tests; hosts have 4 slots.
const warmupRate = 3

// offerLimited offers the agent a flow, as a process that knows the given limit.
func (a *testAgent) offerLimited(key flow.Key, rate uint16, mustTake bool) {
	m := mesh.Message{
		Kind: mesh.KindOffer, Service: mesh.ServiceTag(service), Origin: entryIP, ConfigVersion: 1, Body: packettest.Open(key, 0),
		Terms:      mesh.Terms{Best: mesh.NoCandidate, TargetLatency: mesh.MillisOf(150 * time.Millisecond), WarmupRate: rate, MustTake: mustTake},
		Candidates: [mesh.MaxCandidates]uint32{ownIP, peerIP}, Count: 2,
	}
	a.Receive(m.Append(nil))
}

// heartbeatWarmingUp reports a host that will be warming up for a time.
func (a *testAgent) heartbeatWarmingUp(startedAt int64, sequence uint64, warmup time.Duration) {
	require.NoError(a.t, a.Heartbeat(host.Report{
		ID: "h", StartedAt: startedAt, Sequence: sequence, State: host.Ready, Slots: 4, Service: service, Address: hostAddress, Warmup: warmup,
	}))
}

// takeOpenings returns the number of opening packets sent to the host since the last call.
func (a *testAgent) takeOpenings() int {
	n := 0
	for _, p := range a.takeSentToHost() {
		s, err := platform.DecodePacket(p, platform.FromCaller)
		require.NoError(a.t, err)
		if s.Opens() {
			n++
		}
	}
	return n
}

// Guards against more than the limit in any sliding second at a host that is or may be warming up, in any order of offers,
// copies of opening packets, restarts of the agent and its host, heartbeats, evacuations and withdrawals.
func TestWarmupLimitHoldsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := newTestAgent(t)
		var openings []time.Duration
		var keys []flow.Key
		startedAt, sequence := int64(hostStartedAt), uint64(0)
		// mayBeWarmingUp is what the agent must assume; limitKnown is set once it got an offer with the limit.
		mayBeWarmingUp, limitKnown, evacuated := true, false, false
		heartbeat := func(warmup time.Duration) {
			sequence++
			mayBeWarmingUp = warmup > 0
			a.heartbeatWarmingUp(startedAt, sequence, warmup)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) {
				given := a.takeOpenings()
				for range given {
					openings = append(openings, a.now)
				}
				n := 0
				for _, at := range openings {
					if at > a.now-time.Second {
						n++
					}
				}
				if given > 0 && mayBeWarmingUp && n > warmupRate {
					rt.Fatalf("%d opening packets within a second", n)
				}
			},
			"time passes": func(rt *rapid.T) {
				a.now += time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond
				a.Tick()
			},
			"offer": func(rt *rapid.T) {
				rate := uint16(warmupRate)
				if limitKnown && rapid.Bool().Draw(rt, "from an older process") {
					rate = 0
				}
				limitKnown = true
				keys = append(keys, packettest.Key(len(keys)))
				a.offerLimited(keys[len(keys)-1], rate, rapid.Bool().Draw(rt, "mustTake"))
			},
			"copy": func(rt *rapid.T) {
				if len(keys) > 0 {
					limitKnown = true
					a.offerLimited(rapid.SampledFrom(keys).Draw(rt, "key"), warmupRate, false)
				}
			},
			"host accepts": func(rt *rapid.T) {
				if len(keys) > 0 {
					a.FromHost(packettest.Accept(rapid.SampledFrom(keys).Draw(rt, "key"), hostSeq))
				}
			},
			"heartbeat": func(rt *rapid.T) {
				heartbeat(time.Duration(rapid.IntRange(0, 1).Draw(rt, "warmup")) * time.Second)
			},
			"new incarnation": func(*rapid.T) {
				startedAt += 1000
				heartbeat(time.Second)
			},
			"restart of the agent": func(*rapid.T) {
				a = newTestAgentAt(t, a.now)
				mayBeWarmingUp, limitKnown, evacuated = true, false, false
			},
			"evacuation or withdrawal": func(*rapid.T) {
				mayBeWarmingUp = mayBeWarmingUp || evacuated
				evacuated = !evacuated
				a.SetEvacuated(evacuated)
			},
		})
	})
}

// Guards against flows that wait for longer than the limit needs, and against flows that wait here although another host may
// take them.
func TestFlowsBeyondWarmupLimit(t *testing.T) {
	newLimitedAgent := func(t *testing.T) *testAgent {
		a := newTestAgent(t)
		a.heartbeatWarmingUp(hostStartedAt, 1, 5*time.Second)
		a.now = 2 * time.Second
		for i := range warmupRate {
			a.offerLimited(packettest.Key(i), warmupRate, false)
			a.FromHost(packettest.Accept(packettest.Key(i), hostSeq))
			a.FromHost(packettest.Packet{Flow: packettest.Key(i), FromHost: true, Flags: packettest.RST, Seq: hostSeq}.Bytes())
		}
		require.Equal(t, warmupRate, a.takeOpenings())
		a.toMember = nil
		return a
	}
	t.Run("are passed on", func(t *testing.T) {
		a := newLimitedAgent(t)
		a.offerLimited(packettest.Key(9), warmupRate, false)
		require.Zero(t, a.takeOpenings())
		require.Equal(t, mesh.KindOffer, a.toMember[0].Kind)
		require.EqualValues(t, peerIP, a.toMember[0].to)
		require.EqualValues(t, warmupRate, a.toMember[0].Terms.WarmupRate, "the next agent needs the limit")
		require.GreaterOrEqual(t, a.toMember[1].Load.Busy, 20*a.toMember[1].Load.Slots, "entries don't learn that the host has no room for a second")
	})
	t.Run("are held until the window allows", func(t *testing.T) {
		a := newLimitedAgent(t)
		a.offerLimited(packettest.Key(9), warmupRate, true)
		require.Zero(t, a.takeOpenings())
		for range 3 {
			a.now += a.Tick()
		}
		require.Equal(t, 3*time.Second, a.now)
		require.Equal(t, 1, a.takeOpenings())
	})
	t.Run("are given at once when the host reports that it is warm", func(t *testing.T) {
		a := newLimitedAgent(t)
		a.offerLimited(packettest.Key(9), warmupRate, true)
		a.heartbeatWarmingUp(hostStartedAt, 2, 0)
		require.Equal(t, 1, a.takeOpenings())
	})
	t.Run("wait after a withdrawal until a later heartbeat", func(t *testing.T) {
		a := newLimitedAgent(t)
		a.heartbeatWarmingUp(hostStartedAt, 2, 0)
		a.SetEvacuated(true)
		a.SetEvacuated(false)
		a.offerLimited(packettest.Key(9), warmupRate, true)
		require.Zero(t, a.takeOpenings())
		a.heartbeatWarmingUp(hostStartedAt, 3, 0)
		require.Equal(t, 1, a.takeOpenings())
	})
}

// Guards against a limit on hosts whose service has none, in the first second of the agent.
func TestNoWarmupLimit(t *testing.T) {
	a := newTestAgent(t)
	for i := range placement.DefaultSlots {
		a.offerLimited(packettest.Key(i), 0, false)
	}
	require.Equal(t, placement.DefaultSlots, a.takeOpenings())
	require.EqualValues(t, placement.DefaultSlots, a.Load().Busy)
	require.LessOrEqual(t, a.Tick(), packetagent.DefaultAnswerTimeout)
}
