// Package outlier judges upstreams by the results that an agent measured
// itself. The claims of health and load endpoints count only while there has been no
// result of its own for a minute. It does no I/O.
//
// An upstream that looks bad is ejected for some seconds and then returns with
// the weight of a cold one. At most MaxEjected of a service's upstreams are
// ejected; further bad ones keep the lowest weight. When all look bad, all are
// used at full weight, since there is nothing better.
package outlier
