package config

import (
	"fmt"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// rule is the form of one setting: how it is read, printed and bounded.
type rule struct {
	setting Setting
	// expected describes the accepted form for error messages.
	expected string
	// exceptionOnly marks a setting that Defaults may not hold.
	exceptionOnly bool
	// hostOnly marks a setting that only exceptions of hosts may hold.
	hostOnly bool
	set      func(*Policy, string) error
	get      func(Policy) string
}

// rules holds every setting in the order in which they are shown.
var rules = []rule{
	durationRule(SettingDeadline, time.Millisecond, time.Hour, func(p *Policy) *time.Duration { return &p.Deadline }),
	intRule(SettingReservedSlots, 0, 1000, func(p *Policy) *int { return &p.ReservedSlots }),
	durationRule(SettingDrainFor, 0, 24*time.Hour, func(p *Policy) *time.Duration { return &p.DrainFor }),
	durationRule(SettingSlowStart, 0, time.Hour, func(p *Policy) *time.Duration { return &p.SlowStart }),
	shareRule(SettingRetryShare, func(p *Policy) *float64 { return &p.RetryShare }),
	shareRule(SettingMaxEjected, func(p *Policy) *float64 { return &p.MaxEjected }),
	shareRule(SettingMaxSuspect, func(p *Policy) *float64 { return &p.MaxSuspect }),
	durationRule(SettingSilenceAfter, 100*time.Millisecond, 10*time.Minute, func(p *Policy) *time.Duration { return &p.SilenceAfter }),
	durationRule(SettingKeyWindow, time.Second, 24*time.Hour, func(p *Policy) *time.Duration { return &p.KeyWindow }),
	intRule(SettingLedgerBytes, 64<<10, 1<<30, func(p *Policy) *int { return &p.LedgerBytes }),
	durationRule(SettingResetAfter, time.Second, time.Hour, func(p *Policy) *time.Duration { return &p.ResetAfter }),
	shareRule(SettingResetShare, func(p *Policy) *float64 { return &p.ResetShare }),
	drainRule(),
}

var ruleOf = func() map[Setting]rule {
	m := make(map[Setting]rule, len(rules))
	for _, r := range rules {
		m[r.setting] = r
	}
	return m
}()

// Settings returns every setting in the order in which they are shown.
func Settings() []Setting {
	out := make([]Setting, len(rules))
	for i, r := range rules {
		out[i] = r.setting
	}
	return out
}

// ExpectedForm describes the accepted values of a setting, or is empty for an unknown one.
func ExpectedForm(s Setting) string { return ruleOf[s].expected }

// With returns the policy with one setting changed. The error is of kind
// errors.NotFound for an unknown setting and errors.NotValid for a bad value.
func (p Policy) With(s Setting, value string) (Policy, error) {
	r, ok := ruleOf[s]
	if !ok {
		return p, errors.NotFoundf("setting %q", s)
	}
	if err := r.set(&p, value); err != nil {
		return p, errors.NewNotValid(err, fmt.Sprintf("%s %q, expected %s", s, value, r.expected))
	}
	return p, nil
}

// Value returns one setting in the form in which operators write it.
func (p Policy) Value(s Setting) string {
	r, ok := ruleOf[s]
	if !ok {
		return ""
	}
	return r.get(p)
}

func durationRule(s Setting, low, high time.Duration, field func(*Policy) *time.Duration) rule {
	return rule{
		setting:  s,
		expected: fmt.Sprintf("a duration from %s to %s, such as 10s", low, high),
		set: func(p *Policy, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return fmt.Errorf("reading the duration: %w", err)
			}
			*field(p) = d
			return inRange(d, low, high)
		},
		get: func(p Policy) string { return field(&p).String() },
	}
}

func intRule(s Setting, low, high int, field func(*Policy) *int) rule {
	return rule{
		setting:  s,
		expected: fmt.Sprintf("an integer from %d to %d", low, high),
		set: func(p *Policy, text string) error {
			n, err := strconv.Atoi(text)
			if err != nil {
				return fmt.Errorf("reading the integer: %w", err)
			}
			*field(p) = n
			return inRange(n, low, high)
		},
		get: func(p Policy) string { return strconv.Itoa(*field(&p)) },
	}
}

func shareRule(s Setting, field func(*Policy) *float64) rule {
	return rule{
		setting:  s,
		expected: "a number from 0 to 1, such as 0.3",
		set: func(p *Policy, text string) error {
			f, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return fmt.Errorf("reading the number: %w", err)
			}
			*field(p) = f
			return inRange(f, 0, 1)
		},
		get: func(p Policy) string { return strconv.FormatFloat(*field(&p), 'g', -1, 64) },
	}
}

func drainRule() rule {
	return rule{
		setting:       SettingDrain,
		expected:      "true or false",
		exceptionOnly: true,
		hostOnly:      true,
		set: func(p *Policy, text string) error {
			if text != "true" && text != "false" {
				return errors.New("neither true nor false")
			}
			p.Drain = text == "true"
			return nil
		},
		get: func(p Policy) string { return strconv.FormatBool(p.Drain) },
	}
}

// inRange is written so that NaN is out of range.
func inRange[T time.Duration | int | float64](v, low, high T) error {
	if v >= low && v <= high {
		return nil
	}
	return fmt.Errorf("%v is out of range", v)
}
