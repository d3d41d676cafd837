// Package caller implements the HTTP/3 client for services behind endiveflow.
//
// A request that the balancer refused without running it is sent again until the deadline. A request is
// also sent again after its connection broke. A request that may run only once carries a key: the balancer
// returns the answer saved under the key instead of running the request again, and does not run such a
// request without a key. Errors state whether the request was run.
package caller
