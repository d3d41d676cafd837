package placement_test

import (
	"testing"
	"time"

	"endiveflow.example/endiveflow/mesh"
	"endiveflow.example/endiveflow/placement"
)

func BenchmarkOrder(b *testing.B) {
	candidates := make([]placement.Candidate, 48)
	for i := range candidates {
		candidates[i] = placement.Candidate{IP: uint32(i + 1), Load: benchLoad(i), LoadAge: time.Duration(i) * time.Millisecond}
	}
	var out [mesh.MaxCandidates]uint32
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		placement.Order(flowKey(n), candidates, &out)
	}
}

func BenchmarkDecide(b *testing.B) {
	h := busyHost(6)
	o := terms(0)
	o.TypicalServiceTime = 25
	b.ReportAllocs()
	for b.Loop() {
		h.Decide(flowKey(1), o, 2, 0)
	}
}

func benchLoad(i int) mesh.Load {
	return mesh.Load{Slots: 2, Busy: uint16(i % 3), WorkMs: uint16(400 + i%3*20), StandingMs: 400}
}

// BenchmarkTake measures an offer to a host with a free slot, and the end of its request.
func BenchmarkTake(b *testing.B) {
	h := busyHost(3)
	b.ReportAllocs()
	now := time.Hour
	for b.Loop() {
		now += time.Millisecond
		if h.Decide(flowKey(1), terms(0), 2, now).Action != placement.Take {
			b.Fatal("not taken")
		}
		h.RequestEnded(nil, now)
	}
}
