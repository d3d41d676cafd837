package packetnode

import (
	"context"
	"time"

	"github.com/juju/errors"

	"endiveflow.example/endiveflow/platform"
	"endiveflow.example/endiveflow/watchduty"
)

// storeFollower follows objects of the store while that is the process's duty.
type storeFollower struct {
	duty *watchduty.Duty
	// watch reads the objects and watches them until a call fails or the duty ends, which is no error. It calls answered
	// after each answer of the store.
	watch func(ctx context.Context, answered func()) error
	// onDuty is called with whether it is the process's duty before each attempt, failed with the error of one that the
	// store did not answer.
	onDuty func(bool)
	failed func(error)
}

// run follows the objects until ctx ends.
func (f storeFollower) run(ctx context.Context) {
	backoff := platform.Backoff{Base: storeRetryBase, Max: storeRetryMax}
	failures := 0
	answered := func() {
		failures = 0
		f.duty.Answered(0)
	}
	for ctx.Err() == nil {
		watches := f.duty.Watches()
		f.onDuty(watches)
		if !watches {
			failures = 0
			sleep(ctx, dutyPoll)
			continue
		}
		err := f.watch(ctx, answered)
		if ctx.Err() != nil {
			return
		}
		if err == nil || errors.Is(err, platform.Compacted) || errors.Is(err, platform.Restored) {
			continue
		}
		failures++
		f.failed(err)
		if backoff.Wait(ctx, failures) != nil {
			return
		}
	}
}

// storeDuties are an entry's duties to watch the objects of the store, one for each kind: an entry that has just started
// reads each kind unless it hears of an answer to another entry, so that the answer to one of its own reads must not end
// the duty to do the other.
type storeDuties struct {
	config, evacuations *watchduty.Duty
}

func newStoreDuties(cfg watchduty.Config) storeDuties {
	return storeDuties{config: watchduty.New(cfg), evacuations: watchduty.New(cfg)}
}

// answeredOther records an answer of the store to another entry, some time ago.
func (d storeDuties) answeredOther(ago time.Duration) {
	d.config.Answered(ago)
	d.evacuations.Answered(ago)
}
