// Package testkit holds helpers that the tests of several packages share.
package testkit
