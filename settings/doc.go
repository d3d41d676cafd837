// Package settings reads the settings file of each role. Settings describe one
// process: its addresses, its place and its keys. What operators declare for
// the whole fleet is configuration, see package config.
//
// Files are YAML, read strictly: all errors are reported at once with file,
// line, column and key.
package settings
