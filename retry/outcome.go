package retry

import (
	"strings"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/header"
)

// Outcome says what is known about the execution of a request.
type Outcome uint8

// Outcomes. The zero value is not an outcome.
const (
	// Answered means that the caller has the complete answer of an upstream.
	Answered Outcome = iota + 1
	// NotRun means that it is proven that no upstream ran the request.
	NotRun
	// Unknown means that an upstream may have run the request.
	Unknown
)

// String returns the value of the header endiveflow-outcome.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return header.OutcomeAnswered
	case NotRun:
		return header.OutcomeNotRun
	}
	return header.OutcomeUnknown
}

// ParseOutcome reads the header endiveflow-outcome. Any other text is Unknown:
// a missing statement proves nothing.
func ParseOutcome(text string) Outcome {
	switch text {
	case header.OutcomeAnswered:
		return Answered
	case header.OutcomeNotRun:
		return NotRun
	}
	return Unknown
}

// Repeatable says whether running a request twice has the effect of running it
// once. The rule with the longest matching prefix decides; of rules with equal
// prefixes the one that says "not repeatable" does. A rule without a method applies to
// each method. Without a rule, the method decides.
func Repeatable(method, path string, rules []config.RepeatRule) bool {
	best, repeatable := -1, methodRepeatable(method)
	for _, r := range rules {
		if r.Method != "" && !strings.EqualFold(r.Method, method) {
			continue
		}
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		switch {
		case len(r.Prefix) > best:
			best, repeatable = len(r.Prefix), r.Repeatable
		case len(r.Prefix) == best:
			repeatable = repeatable && r.Repeatable
		}
	}
	return repeatable
}

func methodRepeatable(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	}
	return false
}
