package admit

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Class is a class of work: short or long requests, which are queued separately.
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

// ParseClass returns the class with the given name, or Short if there is none.
func ParseClass(text string) Class {
	if text == "long" {
		return Long
	}
	return Short
}

// Request asks for a slot.
type Request struct {
	// ID is unique among the queued and running requests.
	ID    uint64
	Class Class
	// Deadline is the time at which the caller stops waiting; the zero value means never.
	Deadline time.Time
}

// Verdict is the outcome of a Decision.
type Verdict uint8

// Verdicts.
const (
	// Run: the request holds a slot until Done or Cancel is called for it.
	Run Verdict = iota + 1
	// Queue: the request is queued until Next or another method returns a decision for it.
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

// Reasons for decisions. They are fixed texts, so they can be used as metric labels.
const (
	ReasonFreeSlot            = "free slot"
	ReasonTurn                = "turn in the queue"
	ReasonBusy                = "slots are busy"
	ReasonNoSlots             = "no slots"
	ReasonDeadline            = "deadline cannot be met"
	ReasonQueueTime           = "expected queue time too long"
	ReasonQueueLength         = "queue is full"
	ReasonDeadlineUnreachable = "deadline can no longer be met"
	ReasonQueueTimeExceeded   = "queue time exceeded"
	ReasonNotLessLoaded       = "not less loaded than the sender"
)

// Decision is the decision on a request, with its reason.
type Decision struct {
	ID      uint64
	Verdict Verdict
	Reason  string
	// Wait is the expected queue time of a queued request.
	Wait time.Duration
	// ExpiresAt is the time by which a queued request is refused unless it has got a slot; call Next then.
	ExpiresAt time.Time
	// RetryAfter is the delay after which a refused request may be tried again, computed from the
	// measured drain rate with jitter. It is more than 0.
	RetryAfter time.Duration
}

// Load describes the use of the slots of an upstream at a point in time.
type Load struct {
	// Slots is the number of usable slots; Reserved of them never run long work.
	Slots, Reserved int
	// ShortInUse and LongInUse are the numbers of slots in use by class.
	ShortInUse, LongInUse int
	// ShortQueued and LongQueued are the numbers of queued requests by class.
	ShortQueued, LongQueued int
	// Recent is the exponentially weighted mean of the slots in use, with a time constant of
	// recentTimeConstant, in thousandths of a slot.
	Recent int
}

// InUse returns the number of slots in use.
func (l Load) InUse() int { return l.ShortInUse + l.LongInUse }

// Queued returns the number of queued requests.
func (l Load) Queued() int { return l.ShortQueued + l.LongQueued }

// HasRoom reports whether a request of class c would get a slot at once.
func (l Load) HasRoom(c Class) bool {
	if l.InUse() >= l.Slots {
		return false
	}
	if c == Long {
		return l.LongQueued == 0 && l.LongInUse < l.Slots-l.Reserved
	}
	return l.ShortQueued == 0
}

// WithRun returns the load with one more running request of class c.
func (l Load) WithRun(c Class) Load {
	if c == Long {
		l.LongInUse++
	} else {
		l.ShortInUse++
	}
	return l
}

// loadNumbers is the number of fields in the text form of a Load.
const loadNumbers = 7

// MarshalText returns the value of the header endiveflow-load. Its fields are the slots, reserved
// slots, short in use, long in use, short queued, long queued and the recent mean, separated by commas.
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

// UnmarshalText parses the output of MarshalText. For any other text it returns an error of kind NotValid.
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
