// Package cost estimates what requests cost a host: how long the host works on a request of a route, and how much
// work its open flows will bring. It does no I/O and knows no clock.
//
// An Estimator belongs to one host. It learns from requests that were answered, from the start of their service to
// the answer, separately for first and later requests of a flow. The fleet's value of a route, which offers carry,
// bounds each estimate and is its start, so that neither a single request nor a host that answers at once without
// working moves it far.
//
//	e := cost.New(cost.Config{})
//	e.SetTypical(route, 20*time.Millisecond)
//	e.Observe(cost.Class{Route: route, Later: true}, 12*time.Millisecond, now)
//	d := e.Expected(cost.Class{Route: route, Later: true}, now)
package cost
