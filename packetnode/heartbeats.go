package packetnode

import (
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/host"
)

// heartbeats records the time of the host's last heartbeat.
type heartbeats struct {
	now  func() time.Duration
	last atomic.Int64
}

func newHeartbeats(now func() time.Duration) *heartbeats {
	h := &heartbeats{now: now}
	h.last.Store(int64(now()))
	return h
}

// recordTime wraps handle so that the time of each accepted heartbeat is recorded.
func (h *heartbeats) recordTime(handle func(host.Report) error) func(host.Report) error {
	return func(r host.Report) error {
		err := handle(r)
		if err == nil {
			h.last.Store(int64(h.now()))
		}
		return err
	}
}

func (h *heartbeats) overdue(limit time.Duration) bool {
	return h.now()-time.Duration(h.last.Load()) > limit
}
