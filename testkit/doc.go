// Package testkit holds what the tests of several packages need.
package testkit
