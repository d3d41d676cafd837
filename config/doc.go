// Package config holds the kinds of configuration that operators declare, their
// validation, their versions and audit entries, and the policy that results
// from them.
//
// A Service is reached by callers at one address. An Upstream says which hosts
// may serve it. Defaults apply to the whole fleet. An Exception changes one
// setting of one target and carries a written reason.
package config
