package flowserver

import (
	"context"
	"time"
)

// Times of Shutdown.
const (
	// answerLinger lets the last answers be acknowledged before their flows
	// close. It covers several retransmissions at a round trip of 6 ms. Most
	// callers close their flow themselves before that.
	answerLinger = 500 * time.Millisecond
	// shutdownPoll is the time between looks at the flows during Shutdown.
	shutdownPoll = 5 * time.Millisecond
	// closeTimeout bounds the wait for handlers of closed flows.
	closeTimeout = 2 * time.Second
)

// Report says what a shutdown cut.
type Report struct {
	// Flows is the number of flows closed with requests in flight.
	Flows int `json:"flows"`
	// Requests is the number of requests in flight that were cut.
	Requests int `json:"requests"`
}

// Drain sends GOAWAY on the open flows, spread over DrainSpread. Requests in
// flight go on. A request that a caller sends before it reads GOAWAY is
// rejected unread, so the caller can send it on its next flow. New flows are
// still accepted: an agent that gets one while it drains is the last candidate.
func (s *Server) Drain() {
	s.drainOnce.Do(func() {
		s.mu.Lock()
		close(s.drained)
		s.mu.Unlock()
		go s.drain()
	})
}

// drain ends when all shards got GOAWAY, at the latest in Shutdown.
func (s *Server) drain() {
	defer close(s.drainEnded)
	var spread time.Duration
	if s.cfg.DrainSpread != nil {
		spread = s.cfg.DrainSpread()
	}
	for i := range drainShards {
		s.goAway(&s.shards[i])
		select {
		case <-s.hurry:
		case <-time.After(spread / drainShards):
		}
	}
}

// goAway doesn't wait for flows to end. http3 combines GOAWAY with waiting for the end of
// the flows, so the call is left waiting until the server closes.
func (s *Server) goAway(sh *shard) {
	sh.entering.Wait()
	s.handlers.Add(1)
	go func() {
		defer s.handlers.Done()
		_ = sh.http.Shutdown(s.closing)
	}()
}

// Shutdown sends GOAWAY on all flows, accepts no new ones, waits until no
// request is in flight and closes the flows. When ctx ends first, it cuts
// what is left and reports it. It must be called after Run.
func (s *Server) Shutdown(ctx context.Context) Report {
	s.closeListener()
	<-s.accepted
	s.hurryOnce.Do(func() { close(s.hurry) })
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

// waitIdle returns when all flows are closed or nothing has been in flight for
// answerLinger. Requests that a caller sends before it reads GOAWAY restart the linger.
func (s *Server) waitIdle(ctx context.Context) Report {
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	var idleSince time.Time
	for {
		now := time.Now()
		switch {
		case s.Flows() == 0:
			return Report{}
		case s.InFlight() > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = now
		case now.Sub(idleSince) >= answerLinger:
			return Report{}
		}
		select {
		case <-ctx.Done():
			flows, requests := s.flows.busy()
			return Report{Flows: flows, Requests: requests}
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

// waitHandlers lets the flows send their CONNECTION_CLOSE. A handler that
// ignores the end of its request's context must not block the stop for ever.
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
		s.cfg.Log.Error("handlers go on after their flows were closed", "requests", s.InFlight())
	}
}
