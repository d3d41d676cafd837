// Package audit records the actions that processes take on their own (ejection, suspicion, drain, hand-over,
// refusal) with their reasons, as JSON log lines and in a bounded list served by the admin server. Configuration
// changes carry their own audit entries, see package config.
package audit
