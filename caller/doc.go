// Package caller is the HTTP/3 client of services behind endiveflow.
//
// A request that the balancer refused as not run is sent again within the
// deadline. After a broken connection, a request is sent again too: one that
// may run only once carries a key, under which the balancer returns the saved
// answer instead of running it again, and without a key the balancer does not
// run it. Errors say whether the request was run.
package caller
