package config

import "time"

// Setting names one setting of a policy, in camel case.
type Setting string

// Settings of a policy.
const (
	SettingDeadline      Setting = "deadline"
	SettingReservedSlots Setting = "reservedSlots"
	SettingDrainFor      Setting = "drainFor"
	SettingSlowStart     Setting = "slowStart"
	SettingRetryShare    Setting = "retryShare"
	SettingMaxEjected    Setting = "maxEjected"
	SettingMaxSuspect    Setting = "maxSuspect"
	SettingSilenceAfter  Setting = "silenceAfter"
	SettingKeyWindow     Setting = "keyWindow"
	SettingLedgerBytes   Setting = "ledgerBytes"
	SettingResetAfter    Setting = "resetAfter"
	SettingResetShare    Setting = "resetShare"
	// SettingDrain is only allowed in exceptions of hosts: the operator's drain.
	SettingDrain Setting = "drain"
)

// Policy is the effective value of each setting for one service and host.
type Policy struct {
	// Deadline is how long a request may take when the caller sets no shorter deadline.
	Deadline time.Duration
	// ReservedSlots are the slots of an upstream that long work never takes.
	ReservedSlots int
	// DrainFor bounds how long a leaving process keeps its open flows.
	DrainFor time.Duration
	// SlowStart is the time over which the weight of a cold upstream rises to 100%.
	SlowStart time.Duration
	// RetryShare is the number of retries allowed per request, 0 to 1.
	RetryShare float64
	// MaxEjected is the largest share of a service's upstreams that may be ejected, 0 to 1.
	MaxEjected float64
	// MaxSuspect is the largest share of a service's agents that one observer may suspect at once, 0 to 1.
	MaxSuspect float64
	// SilenceAfter is how long a connection that carries work may show no progress.
	SilenceAfter time.Duration
	// KeyWindow is the age past which a request key is no longer accepted.
	KeyWindow time.Duration
	// LedgerBytes bounds the saved answers of an agent, in bytes.
	LedgerBytes int
	// ResetAfter is how old a confirmed death must be before entries reset flows.
	ResetAfter time.Duration
	// ResetShare is the largest share of a service's agents whose flows are reset at once, 0 to 1.
	ResetShare float64
	// Drain says that the operator drains the host.
	Drain bool
}

// BuiltinPolicy returns the settings that apply where neither Defaults nor an Exception sets one.
func BuiltinPolicy() Policy {
	return Policy{
		Deadline:      10 * time.Second,
		ReservedSlots: 1,
		DrainFor:      30 * time.Second,
		SlowStart:     10 * time.Second,
		RetryShare:    0.1,
		MaxEjected:    0.3,
		MaxSuspect:    0.34,
		SilenceAfter:  3 * time.Second,
		KeyWindow:     10 * time.Minute,
		LedgerBytes:   16 << 20,
		ResetAfter:    10 * time.Second,
		ResetShare:    0.34,
	}
}
