package h3conn

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// probeStream is a stream type that RFC 9114, section 6.2.3, reserves for streams without semantics. The
// peer must acknowledge its packet.
const probeStream = 0x21

// checksPerSilence is the number of checks within SilenceAfter, so that silence is detected with a
// delay of at most a quarter of that time.
const checksPerSilence = 4

var (
	silentTotal = metrics.GetOrCreateCounter(`endiveflow_h3conn_silent_total`)
	probesTotal = metrics.GetOrCreateCounter(`endiveflow_h3conn_probes_total`)
)

// watch runs until the QUIC connection ends and then closes the socket.
func (c *Conn) watch() {
	defer close(c.ended)
	defer c.closeSocket()
	for {
		select {
		case <-c.quic.Context().Done():
			return
		case <-c.wake:
			c.watchRequests()
		}
	}
}

func (c *Conn) closeSocket() {
	_ = c.transport.Close()
	_ = c.socket.Close()
}

// progress is the watcher's record of received packets.
type progress struct {
	packets uint64
	since   time.Time
	probed  bool
	silent  bool
}

// watchRequests checks periodically for progress while requests are in flight.
func (c *Conn) watchRequests() {
	ticker := time.NewTicker(c.cfg.SilenceAfter / checksPerSilence)
	defer ticker.Stop()
	p := progress{packets: c.quic.ConnectionStats().PacketsReceived, since: time.Now()}
	for c.InFlight() > 0 {
		select {
		case <-c.quic.Context().Done():
			return
		case now := <-ticker.C:
			p = c.checkProgress(p, now)
		}
	}
}

// checkProgress probes a connection that has received nothing for half of SilenceAfter, marks it as silent
// after SilenceAfter, and closes it after another SilenceAfter.
func (c *Conn) checkProgress(p progress, now time.Time) progress {
	packets := c.quic.ConnectionStats().PacketsReceived
	if packets != p.packets {
		return progress{packets: packets, since: now, silent: p.silent}
	}
	silence := now.Sub(p.since)
	if silence >= c.cfg.SilenceAfter/2 && !p.probed {
		p.probed = true
		c.probe()
	}
	if silence >= c.cfg.SilenceAfter && !p.silent {
		p.silent = true
		c.markSilent()
	}
	if silence >= 2*c.cfg.SilenceAfter {
		c.closeQUIC("silent")
	}
	return p
}

// probe makes the peer send an acknowledgement. At the stream limit it does nothing, because unacknowledged
// probes are then already in flight.
func (c *Conn) probe() {
	stream, err := c.quic.OpenUniStream()
	if err != nil {
		return
	}
	probesTotal.Inc()
	_, _ = stream.Write([]byte{probeStream})
	_ = stream.Close()
}

func (c *Conn) markSilent() {
	silentTotal.Inc()
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	close(c.silent)
}
