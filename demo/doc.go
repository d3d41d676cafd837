// Package demo runs a small fleet in one process, on loopback with ports that
// it picks itself: platform, fabric, entries, agents and upstreams. It opens
// flows, replaces every entry and drains one host while requests run, and
// reports what the callers saw.
package demo
