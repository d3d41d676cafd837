package packetentry

import (
	"slices"
	"sync"
	"time"
)

const (
	// minSilentAgents is the number of agents that must have left offers unanswered, without any message from an
	// agent meanwhile, for the entry to suspect that it is cut off. One or two may be down themselves.
	minSilentAgents = 3
	// echoWait is the time that other entries have to answer an echo. It is far above a round trip between
	// availability zones.
	echoWait = 150 * time.Millisecond
	// maxEchoes is the number of other entries that an entry sends an echo to.
	maxEchoes = 8
	// minSilence is the time without a message from an agent after which the entry asks others. Under load, an entry
	// receives hundreds of messages in this time.
	minSilence = 250 * time.Millisecond
	// hearingAge is the age up to which a message of an agent shows that an entry hears agents. It is below
	// minSilence, so that entries don't testify with messages from before a fault that they share.
	hearingAge = 125 * time.Millisecond
	// echoInterval is the time after which the echoes are repeated while the silence lasts.
	echoInterval = 500 * time.Millisecond
)

// isolation decides whether the entry is cut off from the agents while other entries aren't, so that the fabric
// sends the flows of callers to those.
//
// The suspicion is that several agents left offers unanswered, and that no agent sent a message meanwhile. The
// entry then asks others. It is cut off if one of them hears agents, or if most of them don't answer: several
// entries may be cut off together. If most answer and hear no agents either, the agents are down or slow, and
// all entries stay: if one left, so would the others, and the load would be the same. An entry that knows no other
// entry stays as well. The first message of an agent ends the isolation.
type isolation struct {
	mu sync.Mutex
	// The fields below are guarded by mu. lastHeard is when the last message of an agent arrived.
	lastHeard time.Duration
	// silentAgents holds the agents that have left offers unanswered which were made since then, at most
	// minSilentAgents.
	silentAgents []uint32
	// echoSent is when the echoes were sent since then, 0 if they weren't; echoes is their number.
	echoSent time.Duration
	echoes   int
	// answered holds the entries that answered an echo; contradicted is set once one of them hears agents.
	answered     []uint32
	contradicted bool
}

// agentHeard records a message of an agent.
func (i *isolation) agentHeard(now time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastHeard, i.silentAgents, i.echoSent = now, i.silentAgents[:0], 0
}

// hearsAgents reports whether an agent sent a message recently.
func (i *isolation) hearsAgents(now time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now-i.lastHeard < hearingAge
}

// offerUnanswered records that an agent left an offer unanswered that was made at offered. All messages that have
// arrived must have been recorded. It returns true if echoes are to be sent to other entries now.
func (i *isolation) offerUnanswered(agent uint32, offered, now time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if offered <= i.lastHeard {
		return false
	}
	if len(i.silentAgents) < minSilentAgents && !slices.Contains(i.silentAgents, agent) {
		i.silentAgents = append(i.silentAgents, agent)
	}
	return len(i.silentAgents) == minSilentAgents && now-i.lastHeard >= minSilence && (i.echoSent == 0 || now-i.echoSent >= echoInterval)
}

// echoesSent records that echoes were sent to a number of other entries.
func (i *isolation) echoesSent(echoes int, now time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.echoSent != 0 && i.isConfirmed() {
		// The entry stays cut off until it hears an agent.
		return
	}
	i.echoSent, i.echoes, i.answered, i.contradicted = now, echoes, i.answered[:0], false
}

// echoAnswered records the answer of another entry. hearsAgents reports whether that entry hears agents.
func (i *isolation) echoAnswered(entry uint32, hearsAgents bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.answered) < maxEchoes && !slices.Contains(i.answered, entry) {
		i.answered = append(i.answered, entry)
	}
	i.contradicted = i.contradicted || hearsAgents
}

// isCutOff reports whether the entry is cut off.
func (i *isolation) isCutOff(now time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.echoSent != 0 && now-i.echoSent >= echoWait && i.isConfirmed()
}

// isConfirmed reports whether the answers so far confirm the suspicion; i.mu must be held.
func (i *isolation) isConfirmed() bool {
	return i.contradicted || 2*len(i.answered) < i.echoes
}
