package retry

import (
	"strings"

	"endiveflow.example/endiveflow/config"
	"endiveflow.example/endiveflow/header"
)

// Outcome describes whether a request has been run, as far as that is known.
type Outcome uint8

// Outcomes. The zero value is not an outcome.
const (
	// Answered means that the caller gets the complete answer of an upstream. If a long answer breaks off while
	// it is forwarded, the stream of the caller is aborted.
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

// ParseOutcome parses the value of the header endiveflow-outcome. Any other text is Unknown, since
// only the exact value "not-run" proves that the request was not run.
func ParseOutcome(text string) Outcome {
	switch text {
	case header.OutcomeAnswered:
		return Answered
	case header.OutcomeNotRun:
		return NotRun
	}
	return Unknown
}

// Repeatable reports whether running a request twice has the same effect as running it
// once. The rule with the longest matching prefix decides; if rules have equal prefixes, the request
// is repeatable only if all of them allow it. A rule without a method applies to
// every method. Without a matching rule, the method decides.
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
