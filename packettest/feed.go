package packettest

import (
	"slices"
	"time"

	"endiveflow.example/endiveflow/flow"
)

// Feed is a load of callers with long flows: each caller sends one request after the other on its flow, with pauses.
type Feed struct {
	// Route is the service endpoint; Flows is the number of callers.
	Route flow.Endpoint
	Flows int
	// Pause is the mean pause between an answer and the next request, exponentially distributed. A caller closes its flow
	// after PerFlow requests on average and opens another one.
	Pause   time.Duration
	PerFlow int
	// Target is the time within which a request must be answered. A caller gives a flow up after Deadline.
	Target, Deadline time.Duration
	// Results holds the results of all requests that have ended.
	Results []Result

	fleet *Fleet
	// ports is the number of flows so far.
	ports int
	flows map[flow.Key]*feedFlow
}

// feedFlow is one flow of a feed.
type feedFlow struct {
	key        flow.Key
	initialSeq uint32
	open, done bool
	// nextSeq is the sequence number of the next or the current request, began when that was due; busy is set until it is
	// answered.
	nextSeq uint32
	began   time.Duration
	busy    bool
}

// feedRequestBytes is the size of a request of a feed.
const feedRequestBytes = 100

// StartFeed starts a feed on a fleet, its callers evenly within the given time. Loads and other feeds on the same fleet keep their
// callers.
func StartFeed(f *Fleet, feed *Feed, within time.Duration) {
	feed.fleet, feed.flows = f, make(map[flow.Key]*feedFlow)
	others := f.ToCaller
	f.ToCaller = func(s flow.Segment, from uint32) {
		if c := feed.flows[s.Key]; c != nil {
			feed.receive(c, s)
			return
		}
		others(s, from)
	}
	for i := range feed.Flows {
		f.After(within*time.Duration(i)/time.Duration(feed.Flows), func() { feed.begin(f.now) })
	}
}

// begin opens a flow for a request that was due at a time.
func (l *Feed) begin(due time.Duration) {
	l.ports++
	c := &feedFlow{
		key:     flow.Key{Caller: flow.Endpoint{IP: 0x64500000 + uint32(l.ports>>14), Port: uint16(1024 + l.ports&0x3fff)}, Service: l.Route},
		nextSeq: 1001, began: due, busy: true,
	}
	l.flows[c.key] = c
	for n, d := range []time.Duration{0, secondOpening, thirdOpening} {
		l.fleet.After(d, func() {
			if !c.open && !c.done {
				l.send(c, Open(c.key, uint32(n)))
			}
		})
	}
	l.expire(c, l.fleet.now+l.Deadline)
}

// expire gives a flow up whose current request isn't answered by its deadline.
func (l *Feed) expire(c *feedFlow, deadline time.Duration) {
	seq := c.nextSeq
	l.fleet.After(deadline-l.fleet.now, func() {
		if c.busy && c.nextSeq == seq {
			l.end(c, 0)
		}
	})
}

func (l *Feed) send(c *feedFlow, packet []byte) {
	l.fleet.FromCaller(l.fleet.Entries[c.key.Hash()%uint64(len(l.fleet.Entries))], packet)
}

// request sends the current request until it is answered, with growing pauses.
func (l *Feed) request(c *feedFlow, seq uint32, pause time.Duration) {
	if c.done || !c.busy || c.nextSeq != seq {
		return
	}
	l.send(c, Packet{Flow: c.key, Flags: ACK, Seq: seq, Ack: c.initialSeq + 1, DataBytes: feedRequestBytes}.Bytes())
	l.fleet.After(pause, func() { l.request(c, seq, min(2*pause, maxRetransmit)) })
}

// end ends a flow and begins another one after a pause; latency is that of its last request, 0 if it failed.
func (l *Feed) end(c *feedFlow, latency time.Duration) {
	if c.done {
		return
	}
	c.done = true
	if c.busy {
		l.Results = append(l.Results, Result{Started: c.began, Latency: latency})
	}
	if c.open {
		l.send(c, Packet{Flow: c.key, Flags: ACK | FIN, Seq: c.nextSeq, Ack: c.initialSeq + 1}.Bytes())
	}
	delete(l.flows, c.key)
	l.fleet.After(l.pause(), func() { l.begin(l.fleet.now) })
}

func (l *Feed) pause() time.Duration {
	return time.Duration(l.fleet.Random.ExpFloat64() * float64(l.Pause))
}

func (l *Feed) receive(c *feedFlow, s flow.Segment) {
	switch {
	case s.IsRST && c.open && !isValidReset(s, c.initialSeq):
	case s.IsRST:
		l.end(c, 0)
	case s.IsSYN && !c.open:
		c.open, c.initialSeq = true, s.Seq
		l.request(c, c.nextSeq, secondOpening)
	case s.DataBytes > 0 && c.open && c.busy && s.Ack == c.nextSeq+1:
		c.busy = false
		latency := l.fleet.now - c.began
		l.Results = append(l.Results, Result{Started: c.began, Latency: latency})
		c.nextSeq += feedRequestBytes
		if l.fleet.Random.IntN(l.PerFlow) == 0 {
			l.end(c, latency)
			return
		}
		l.fleet.After(l.pause(), func() {
			c.began, c.busy = l.fleet.now, true
			l.expire(c, l.fleet.now+l.Deadline)
			l.request(c, c.nextSeq, secondOpening)
		})
	}
}

// Served returns the share of the requests that began in a time span and were answered within the target, and the 99th
// percentile of their latency, in which failed ones count as the deadline.
func (l *Feed) Served(from, to time.Duration) (inTime float64, p99 time.Duration) {
	return served(l.Results, from, to, l.Target, l.Deadline)
}

func served(results []Result, from, to, target, deadline time.Duration) (inTime float64, p99 time.Duration) {
	var latencies []time.Duration
	n := 0
	for _, r := range results {
		if r.Started < from || r.Started >= to {
			continue
		}
		latency := r.Latency
		if latency == 0 {
			latency = deadline
		}
		if latency <= target {
			n++
		}
		latencies = append(latencies, latency)
	}
	if len(latencies) == 0 {
		return 0, 0
	}
	slices.Sort(latencies)
	return float64(n) / float64(len(latencies)), latencies[len(latencies)*99/100]
}
