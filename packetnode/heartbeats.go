package packetnode

import (
	"sync/atomic"
	"time"

	"endiveflow.example/endiveflow/host"
)

// heartbeats knows when the host was heard from last.
type heartbeats struct {
	now  func() time.Duration
	last atomic.Int64
}

func newHeartbeats(now func() time.Duration) *heartbeats {
	h := &heartbeats{now: now}
	h.last.Store(int64(now()))
	return h
}

// noted returns take with a note of the time.
func (h *heartbeats) noted(take func(host.Report) error) func(host.Report) error {
	return func(r host.Report) error {
		err := take(r)
		if err == nil {
			h.last.Store(int64(h.now()))
		}
		return err
	}
}

func (h *heartbeats) overdue(limit time.Duration) bool {
	return h.now()-time.Duration(h.last.Load()) > limit
}
