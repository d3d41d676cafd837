package flowserver

import (
	"context"
	"time"
)

// Times of Shutdown.
const (
	// answerLinger is how long flows stay open after the last request, so that its answer can be
	// acknowledged. It covers several retransmissions at a round trip of 6 ms. Most callers close their
	// flow themselves before that.
	answerLinger = 500 * time.Millisecond
	// shutdownPoll is the interval at which Shutdown checks the flows.
	shutdownPoll = 5 * time.Millisecond
	// closeTimeout bounds the wait for handlers of closed flows.
	closeTimeout = 2 * time.Second
)

// ShutdownReport counts the requests that a shutdown cut, and their flows.
type ShutdownReport struct {
	// Flows is the number of flows closed with requests in flight.
	Flows int `json:"flows"`
	// Requests is the number of requests in flight that were cut.
	Requests int `json:"requests"`
}

// Drain sends GOAWAY on the open flows, spread over DrainSpread. Requests in flight continue. A request
// that a caller sends before it reads GOAWAY is rejected without being read, so the caller can send it on
// its next flow. New flows are still accepted, because an agent that gets one while it drains is the last
// candidate.
func (s *Server) Drain() {
	s.drainOnce.Do(func() {
		s.mu.Lock()
		close(s.drainStarted)
		s.mu.Unlock()
		go s.drain()
	})
}

// drain sends GOAWAY in all shards but the last, spread over DrainSpread. Shutdown skips the rest of the
// spread.
func (s *Server) drain() {
	defer close(s.drainEnded)
	var spread time.Duration
	if s.cfg.DrainSpread != nil {
		spread = s.cfg.DrainSpread()
	}
	for i := range drainShards {
		s.goAway(&s.shards[i])
		select {
		case <-s.skipSpread:
		case <-time.After(spread / drainShards):
		}
	}
}

// goAway sends GOAWAY on the flows of a shard without waiting for them to end. http3 combines GOAWAY with
// waiting for the end of the flows, so the call runs in its own goroutine until the server closes.
func (s *Server) goAway(sh *shard) {
	sh.registering.Wait()
	s.handlers.Add(1)
	go func() {
		defer s.handlers.Done()
		_ = sh.http.Shutdown(s.closing)
	}()
}

// Shutdown sends GOAWAY on all flows, accepts no new ones, waits until no request is in flight and closes
// the flows. If ctx ends first, it cuts the remaining requests and reports them. It must be called after
// Run.
func (s *Server) Shutdown(ctx context.Context) ShutdownReport {
	s.closeListener()
	<-s.acceptEnded
	s.skipSpreadOnce.Do(func() { close(s.skipSpread) })
	s.Drain()
	<-s.drainEnded
	s.goAway(&s.shards[drainShards])
	report := s.waitIdle(ctx)
	s.stop()
	if report.Requests > 0 {
		flowsCutTotal.Add(report.Flows)
		requestsCutTotal.Add(report.Requests)
		s.cfg.Log.Warn("shutdown cut requests in flight", "flows", report.Flows, "requests", report.Requests)
	}
	return report
}

func (s *Server) closeListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// waitIdle returns when all flows are closed or no request has been in flight for answerLinger. Requests
// that a caller sends before it reads GOAWAY restart that time.
func (s *Server) waitIdle(ctx context.Context) ShutdownReport {
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	var idleSince time.Time
	for {
		now := time.Now()
		switch {
		case s.Flows() == 0:
			return ShutdownReport{}
		case s.InFlight() > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = now
		case now.Sub(idleSince) >= answerLinger:
			return ShutdownReport{}
		}
		select {
		case <-ctx.Done():
			flows, requests := s.flows.busy()
			return ShutdownReport{Flows: flows, Requests: requests}
		case <-ticker.C:
		}
	}
}

// stop closes all flows and the transport, once.
func (s *Server) stop() {
	s.stopOnce.Do(func() {
		s.closeListener()
		s.close()
		s.waitHandlers()
		_ = s.transport.Close()
		close(s.stopped)
	})
	<-s.stopped
}

// waitHandlers waits until the flows have sent their CONNECTION_CLOSE and the handlers have returned. The
// wait is bounded, because a handler may ignore the end of its request's context.
func (s *Server) waitHandlers() {
	ended := make(chan struct{})
	go func() {
		for i := range s.shards {
			_ = s.shards[i].http.Close()
		}
		s.handlers.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(closeTimeout):
		s.cfg.Log.Error("handlers still running after their flows were closed", "requests", s.InFlight())
	}
}
