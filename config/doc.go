// Package config defines the kinds of configuration objects that operators declare, their validation, versions
// and audit entries, and the policy that results from them.
//
// Callers reach a Service at one address. An Upstream declares which hosts may serve it. Defaults apply to the
// whole fleet. An Exception changes one setting of one target and carries a reason.
package config
