// Package demo runs a small fleet in one process, on loopback addresses and free ports: platform, fabric,
// entries, agents and upstreams. It opens flows, replaces every entry and drains one host while requests
// run, and reports the results that the callers got.
package demo
