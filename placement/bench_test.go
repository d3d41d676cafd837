package placement_test

import (
	"testing"
	"time"

	"endiveflow.example/endiveflow/placement"
)

// BenchmarkDecide measures an offer to a host with a free slot, and the end of its request.
func BenchmarkDecide(b *testing.B) {
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
