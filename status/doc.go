// Package status holds the form of GET /status: which version of the
// configuration is in effect in each availability zone, which nodes are behind
// and why, and what is known of each upstream.
package status
