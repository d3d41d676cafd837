package config

import "time"

// Setting is the name of a setting of a policy, in camel case.
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
	// SettingDrain drains a host. It is only allowed in exceptions of hosts.
	SettingDrain Setting = "drain"
)

// Policy holds the effective values of all settings for a service and host.
type Policy struct {
	// Deadline limits the time of a request whose caller sets no shorter deadline.
	Deadline time.Duration
	// ReservedSlots is the number of slots of an upstream that long work may not use.
	ReservedSlots int
	// DrainFor limits how long a leaving process keeps its open flows.
	DrainFor time.Duration
	// SlowStart is the time over which the weight of a cold upstream rises to 100%.
	SlowStart time.Duration
	// RetryShare is the number of retries allowed per request, from 0 to 1.
	RetryShare float64
	// MaxEjected is the largest share of a service's upstreams that may be ejected, from 0 to 1.
	MaxEjected float64
	// MaxSuspect is the largest share of a service's agents that one observer may suspect at once, from 0 to 1.
	MaxSuspect float64
	// SilenceAfter is the longest time for which a connection with work in progress may show no progress.
	SilenceAfter time.Duration
	// KeyWindow is the age after which a request key is no longer accepted.
	KeyWindow time.Duration
	// LedgerBytes limits the size of the answers saved by an agent.
	LedgerBytes int
	// ResetAfter is the minimum age of a confirmed death before entries reset the flows of the agent.
	ResetAfter time.Duration
	// ResetShare is the largest share of a service's agents whose flows may be reset at once, from 0 to 1.
	ResetShare float64
	// Drain reports whether the host is drained by an operator.
	Drain bool
}

// BuiltinPolicy returns the settings that apply if neither Defaults nor an Exception sets them.
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
