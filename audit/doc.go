// Package audit records what the fleet does by itself (ejection, suspicion,
// drain, hand-over, refusal), each with its reason, as JSON log lines and in
// a bounded list that the admin server shows. Changes of configuration carry
// their own audit entries, see package config.
package audit
