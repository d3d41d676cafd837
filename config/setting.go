package config

import (
	"fmt"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// rule describes how a setting is parsed, formatted and limited.
type rule struct {
	setting Setting
	// expected describes the accepted form in error messages.
	expected string
	// exceptionOnly marks a setting that is not allowed in Defaults.
	exceptionOnly bool
	// hostOnly marks a setting that is only allowed in exceptions of hosts.
	hostOnly bool
	parse    func(*Policy, string) error
	format   func(Policy) string
}

// rules lists all settings in the order of display.
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

var ruleBySetting = func() map[Setting]rule {
	m := make(map[Setting]rule, len(rules))
	for _, r := range rules {
		m[r.setting] = r
	}
	return m
}()

// Settings returns all settings in the order of display.
func Settings() []Setting {
	out := make([]Setting, len(rules))
	for i, r := range rules {
		out[i] = r.setting
	}
	return out
}

// ExpectedForm describes the accepted values of a setting. It is empty for an unknown setting.
func ExpectedForm(s Setting) string { return ruleBySetting[s].expected }

// With returns the policy with one setting changed. The error is of kind errors.NotFound for an unknown setting
// and errors.NotValid for an invalid value.
func (p Policy) With(s Setting, value string) (Policy, error) {
	r, ok := ruleBySetting[s]
	if !ok {
		return p, errors.NotFoundf("setting %q", s)
	}
	if err := r.parse(&p, value); err != nil {
		return p, errors.NewNotValid(err, fmt.Sprintf("%s %q, expected %s", s, value, r.expected))
	}
	return p, nil
}

// Value returns the value of a setting in the form that operators write.
func (p Policy) Value(s Setting) string {
	r, ok := ruleBySetting[s]
	if !ok {
		return ""
	}
	return r.format(p)
}

func durationRule(s Setting, low, high time.Duration, field func(*Policy) *time.Duration) rule {
	return rule{
		setting:  s,
		expected: fmt.Sprintf("a duration from %s to %s, such as 10s", low, high),
		parse: func(p *Policy, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return fmt.Errorf("reading the duration: %w", err)
			}
			*field(p) = d
			return inRange(d, low, high)
		},
		format: func(p Policy) string { return field(&p).String() },
	}
}

func intRule(s Setting, low, high int, field func(*Policy) *int) rule {
	return rule{
		setting:  s,
		expected: fmt.Sprintf("an integer from %d to %d", low, high),
		parse: func(p *Policy, text string) error {
			n, err := strconv.Atoi(text)
			if err != nil {
				return fmt.Errorf("reading the integer: %w", err)
			}
			*field(p) = n
			return inRange(n, low, high)
		},
		format: func(p Policy) string { return strconv.Itoa(*field(&p)) },
	}
}

func shareRule(s Setting, field func(*Policy) *float64) rule {
	return rule{
		setting:  s,
		expected: "a number from 0 to 1, such as 0.3",
		parse: func(p *Policy, text string) error {
			f, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return fmt.Errorf("reading the number: %w", err)
			}
			*field(p) = f
			return inRange(f, 0, 1)
		},
		format: func(p Policy) string { return strconv.FormatFloat(*field(&p), 'g', -1, 64) },
	}
}

func drainRule() rule {
	return rule{
		setting:       SettingDrain,
		expected:      "true or false",
		exceptionOnly: true,
		hostOnly:      true,
		parse: func(p *Policy, text string) error {
			if text != "true" && text != "false" {
				return errors.New("neither true nor false")
			}
			p.Drain = text == "true"
			return nil
		},
		format: func(p Policy) string { return strconv.FormatBool(p.Drain) },
	}
}

// inRange returns an error unless v is in the range. The condition is written so that NaN is out of range.
func inRange[T time.Duration | int | float64](v, low, high T) error {
	if v >= low && v <= high {
		return nil
	}
	return fmt.Errorf("%v is out of range", v)
}
