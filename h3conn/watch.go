package h3conn

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// probeStream is a stream type that RFC 9114 section 6.2.3 reserves for
// streams without meaning. Its packet makes the peer acknowledge.
const probeStream = 0x21

// checksPerSilence is the number of checks within SilenceAfter, so that
// silence is found at most a quarter late.
const checksPerSilence = 4

var (
	silentTotal = metrics.GetOrCreateCounter(`endiveflow_h3conn_silent_total`)
	probesTotal = metrics.GetOrCreateCounter(`endiveflow_h3conn_probes_total`)
)

// watch runs until the QUIC connection ends and then closes the socket.
func (c *Conn) watch() {
	defer close(c.ended)
	defer c.release()
	for {
		select {
		case <-c.quic.Context().Done():
			return
		case <-c.wake:
			c.watchWork()
		}
	}
}

func (c *Conn) release() {
	_ = c.transport.Close()
	_ = c.socket.Close()
}

// progress is what the watcher knows of received packets.
type progress struct {
	packets uint64
	at      time.Time
	probed  bool
	silent  bool
}

// watchWork checks for progress while requests are in flight.
func (c *Conn) watchWork() {
	ticker := time.NewTicker(c.cfg.SilenceAfter / checksPerSilence)
	defer ticker.Stop()
	p := progress{packets: c.quic.ConnectionStats().PacketsReceived, at: time.Now()}
	for c.Active() > 0 {
		select {
		case <-c.quic.Context().Done():
			return
		case now := <-ticker.C:
			p = c.check(p, now)
		}
	}
}

// check probes a quiet connection, declares it silent after SilenceAfter and
// closes it after another SilenceAfter.
func (c *Conn) check(p progress, now time.Time) progress {
	packets := c.quic.ConnectionStats().PacketsReceived
	if packets != p.packets {
		return progress{packets: packets, at: now, silent: p.silent}
	}
	quiet := now.Sub(p.at)
	if quiet >= c.cfg.SilenceAfter/2 && !p.probed {
		p.probed = true
		c.probe()
	}
	if quiet >= c.cfg.SilenceAfter && !p.silent {
		p.silent = true
		c.declareSilent()
	}
	if quiet >= 2*c.cfg.SilenceAfter {
		c.closeQUIC("silent")
	}
	return p
}

// probe makes the peer send a packet. At the limit of streams it does
// nothing, since then unacknowledged probes are in flight already.
func (c *Conn) probe() {
	stream, err := c.quic.OpenUniStream()
	if err != nil {
		return
	}
	probesTotal.Inc()
	_, _ = stream.Write([]byte{probeStream})
	_ = stream.Close()
}

func (c *Conn) declareSilent() {
	silentTotal.Inc()
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	close(c.silent)
}
