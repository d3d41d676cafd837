package member

import (
	"slices"
	"time"
)

const (
	// ObserverCount is the number of entries that watch a member. With three, the control traffic of an
	// entry would exceed its budget at the target size.
	ObserverCount = 2
	// MinHeartbeatInterval is the shortest interval between heartbeats.
	MinHeartbeatInterval = time.Second
	// HeartbeatBytesPerSecond is the budget of an entry for heartbeats and their answers, including IP and
	// UDP headers. It is half of the budget of 2 KB/s for control traffic; gossip has the other half.
	HeartbeatBytesPerSecond = 1000
)

// Observers returns the k highest-ranked entries for a member by rendezvous hashing, in descending order.
// The member itself is never among them. Draining entries rank below all others, so a member moves to its
// next observers while the draining ones still answer, instead of after missed answers.
func Observers(id ID, entries []Record, k int) []Record {
	preferred := highestRanked(id, entries, k, func(r *Record) bool { return r.State != StateDraining })
	if len(preferred) == k {
		return preferred
	}
	return append(preferred, highestRanked(id, entries, k-len(preferred), func(r *Record) bool { return r.State == StateDraining })...)
}

// highestRanked returns the k highest-ranked of the eligible entries by rendezvous hashing.
func highestRanked(id ID, entries []Record, k int, eligible func(*Record) bool) []Record {
	type ranked struct {
		score uint64
		index int
	}
	top := make([]ranked, 0, k+1)
	for i := range entries {
		if entries[i].ID == id || !eligible(&entries[i]) {
			continue
		}
		score := observerScore(id, entries[i].ID)
		if len(top) == k && score <= top[k-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, score, func(r ranked, s uint64) int {
			if r.score > s {
				return -1
			}
			return 1
		})
		top = slices.Insert(top, at, ranked{score: score, index: i})
		top = top[:min(len(top), k)]
	}
	out := make([]Record, len(top))
	for i, r := range top {
		out[i] = entries[r.index]
	}
	return out
}

func observerScore(id, entry ID) uint64 { return mix(uint64(id) ^ mix(uint64(entry))) }

// HeartbeatInterval returns the interval that an entry assigns to its senders: the shortest at which the
// heartbeats of all senders, with their answers, take at most HeartbeatBytesPerSecond. The argument bytes
// is the size of a heartbeat and its answer, including IP and UDP headers.
func HeartbeatInterval(senders, bytes int) time.Duration {
	interval := time.Duration(senders*bytes) * time.Second / HeartbeatBytesPerSecond
	return max(interval, MinHeartbeatInterval)
}
