// Package outlier detects and ejects failing or slow upstreams (outlier detection) by
// the results of requests that the agent itself has measured. Reports of health and load
// endpoints are used only when the agent has had no result for a minute. The package does no I/O.
//
// An unhealthy upstream is ejected for some seconds and then goes through a slow start, like a
// cold one. At most the share MaxEjected of a service's upstreams is ejected; any other unhealthy
// upstream gets the lowest weight. When all are unhealthy, all are used at full weight, since
// there is no better one.
package outlier
