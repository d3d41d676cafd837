package member

import (
	"slices"
	"time"
)

const (
	// ObserverCount is the number of entries that watch a member: two, because
	// three cost an entry more than its share of control traffic at the target size.
	ObserverCount = 2
	// MinBeatInterval is the shortest interval between heartbeats.
	MinBeatInterval = time.Second
	// BeatBytesPerSecond is what heartbeats and their answers may cost an
	// entry, IP and UDP headers included. It is half of the target of 2 KB/s;
	// gossip has the other half.
	BeatBytesPerSecond = 1000
)

// Observers returns the first k entries for a member by rendezvous hashing, the
// highest first. The member itself is never among them. Entries that are
// draining come after all others: a member moves to its next observers while
// the leaving ones still answer, and no change waits for heartbeats to be missed.
func Observers(id ID, entries []Record, k int) []Record {
	staying := highest(id, entries, k, func(r *Record) bool { return r.State != StateDraining })
	if len(staying) == k {
		return staying
	}
	return append(staying, highest(id, entries, k-len(staying), func(r *Record) bool { return r.State == StateDraining })...)
}

// highest returns the first k of the eligible entries by rendezvous hashing.
func highest(id ID, entries []Record, k int, eligible func(*Record) bool) []Record {
	type ranked struct {
		score uint64
		place int
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
		top = slices.Insert(top, at, ranked{score: score, place: i})
		top = top[:min(len(top), k)]
	}
	out := make([]Record, len(top))
	for i, r := range top {
		out[i] = entries[r.place]
	}
	return out
}

func observerScore(id, entry ID) uint64 { return mix(uint64(id) ^ mix(uint64(entry))) }

// BeatInterval returns the interval that an entry hands out: the shortest at
// which the heartbeats of all its senders, with answers, cost at most
// BeatBytesPerSecond. The argument bytes is the size of a heartbeat and its
// answer with IP and UDP headers.
func BeatInterval(senders, bytes int) time.Duration {
	interval := time.Duration(senders*bytes) * time.Second / BeatBytesPerSecond
	return max(interval, MinBeatInterval)
}
