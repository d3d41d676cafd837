// Package settings reads the settings file of each role. Settings describe a single process: its addresses, its
// zone and its keys. What operators declare for the whole fleet is the configuration, see package config.
//
// Files are YAML and read strictly: all errors are reported together, with file, line, column and key.
package settings
