package admit

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Class is a class of work.
type Class uint8

// Classes of work. The zero value is not a class.
const (
	Short Class = iota + 1
	Long
)

// String returns the name of the class.
func (c Class) String() string {
	if c == Long {
		return "long"
	}
	return "short"
}

// ParseClass reads the name of a class; any other text is Short.
func ParseClass(text string) Class {
	if text == "long" {
		return Long
	}
	return Short
}

// Request asks for a slot.
type Request struct {
	// ID is unique among the requests that wait or run.
	ID    uint64
	Class Class
	// Deadline is the time at which the caller stops waiting; the zero value means never.
	Deadline time.Time
}

// Verdict is the kind of a decision.
type Verdict uint8

// Verdicts.
const (
	// Run: the request holds a slot until Done.
	Run Verdict = iota + 1
	// Queue: the request waits until Next returns a decision for it.
	Queue
	// Refuse: the request is not run.
	Refuse
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Run:
		return "run"
	case Queue:
		return "queue"
	}
	return "refuse"
}

// Reasons of decisions. They are fixed texts, usable as labels of metrics.
const (
	ReasonFreeSlot     = "free slot"
	ReasonTurn         = "turn in the queue"
	ReasonBusy         = "slots are busy"
	ReasonNoSlots      = "no slots"
	ReasonDeadline     = "deadline cannot be met"
	ReasonQueueTime    = "expected queue time too long"
	ReasonQueueLength  = "queue is full"
	ReasonLostDeadline = "deadline can no longer be met"
	ReasonWaited       = "queue time exceeded"
	ReasonNotLighter   = "not less loaded than the sender"
)

// Decision says what happens to a request, and why.
type Decision struct {
	ID      uint64
	Verdict Verdict
	Reason  string
	// Wait is the expected queue time of a queued request.
	Wait time.Duration
	// GiveUp is the time at which a queued request is refused at the latest; call Next then.
	GiveUp time.Time
	// RetryAfter is when a refused request may be tried again, from the measured drain
	// rate with jitter. It is more than 0.
	RetryAfter time.Duration
}

// Load describes the slots of an upstream at one time.
type Load struct {
	// Slots is the number of usable slots; Reserved of them never run long work.
	Slots, Reserved int
	// ShortInUse and LongInUse are the slots in use by class.
	ShortInUse, LongInUse int
	// ShortQueued and LongQueued are the requests that wait by class.
	ShortQueued, LongQueued int
	// Recent is the mean of the slots in use over the last seconds, in thousandths of a slot.
	Recent int
}

// InUse returns the number of slots in use.
func (l Load) InUse() int { return l.ShortInUse + l.LongInUse }

// Queued returns the number of requests that wait.
func (l Load) Queued() int { return l.ShortQueued + l.LongQueued }

// HasRoom says whether a request of a class would get a slot at once.
func (l Load) HasRoom(c Class) bool {
	if l.InUse() >= l.Slots {
		return false
	}
	if c == Long {
		return l.LongQueued == 0 && l.LongInUse < l.Slots-l.Reserved
	}
	return l.ShortQueued == 0
}

// WithRun returns the load with one more request of a class in use.
func (l Load) WithRun(c Class) Load {
	if c == Long {
		l.LongInUse++
	} else {
		l.ShortInUse++
	}
	return l
}

// loadNumbers is the number of numbers in the text of a load.
const loadNumbers = 7

// MarshalText returns the value of the header endiveflow-load: slots, reserved, short in
// use, long in use, short queued, long queued, recent.
func (l Load) MarshalText() ([]byte, error) {
	numbers := []int{l.Slots, l.Reserved, l.ShortInUse, l.LongInUse, l.ShortQueued, l.LongQueued, l.Recent}
	var text []byte
	for i, n := range numbers {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendInt(text, int64(n), 10)
	}
	return text, nil
}

// UnmarshalText reads what MarshalText wrote. Any other text is an error of kind NotValid.
func (l *Load) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ",")
	if len(parts) != loadNumbers {
		return errors.NotValidf("load with %d numbers", len(parts))
	}
	var v [loadNumbers]int
	for i, part := range parts {
		bits := 16
		if i == loadNumbers-1 {
			bits = 26 // thousandths of a 16-bit number
		}
		n, err := strconv.ParseUint(part, 10, bits)
		if err != nil {
			return errors.NewNotValid(err, "load")
		}
		v[i] = int(n)
	}
	*l = Load{Slots: v[0], Reserved: v[1], ShortInUse: v[2], LongInUse: v[3], ShortQueued: v[4], LongQueued: v[5], Recent: v[6]}
	return nil
}
