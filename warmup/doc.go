// Package warmup limits the opening packets that are given to one host while it warms up. It does no I/O.
//
// A host that has just started is slow. The operator configures how many requests per second it can sustain then, and
// the agent beside it admits at most as many opening packets in any sliding second.
//
//	l := warmup.New(now)
//	l.SetLimit(rate)
//	if l.Wait(0, now) == 0 {
//		l.Record(now)
//		...
//	}
package warmup
