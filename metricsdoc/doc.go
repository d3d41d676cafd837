// Package metricsdoc contains the test that compares the metrics in the code with the pages in
// docs/metrics.
package metricsdoc
