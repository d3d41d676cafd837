// Package status defines the answer to GET /status: the version of the configuration that is in effect in each
// availability zone, the nodes that are behind and why, and the state of each upstream. It also defines the
// answer to GET /explain.
package status
