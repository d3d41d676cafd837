package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"endiveflow.example/endiveflow/header"
	"endiveflow.example/endiveflow/upstream"
)

// UpstreamAnswer is the JSON body of the upstream's answers.
type UpstreamAnswer struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Bytes is the length of the request body.
	Bytes int `json:"bytes"`
	// DeadlineMs is the deadline that the upstream received, 0 if none.
	DeadlineMs int64 `json:"deadlineMs"`
}

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", u.health)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		load := u.load()
		if u.misleadHealth.Load() {
			load = 0
		}
		_, _ = fmt.Fprintf(w, "{\"load\":%d}\n", load)
	})
	mux.HandleFunc("GET /executed", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(u.Executed())
	})
	mux.HandleFunc("/", u.serve)
	return mux
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	healthy := !u.shedAll.Load() && Break(u.breakMode.Load()) == BreakNone
	if healthy == u.misleadHealth.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// serve executes one request in a slot and answers it.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	if isSilent(r.Context()) {
		<-r.Context().Done()
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if Break(u.breakMode.Load()) == BreakBefore {
		panic(http.ErrAbortHandler)
	}
	if !u.acquireSlot(r.Context()) {
		u.shed.Add(1)
		w.Header().Set(header.Shed, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	finished := u.execute(r)
	if !finished {
		return
	}
	if isSilent(r.Context()) {
		<-r.Context().Done()
		return
	}
	u.answer(w, r, len(body))
}

// acquireSlot waits for a slot. It returns false if the queue is full, ctx ends or all requests are to be shed.
func (u *Upstream) acquireSlot(ctx context.Context) bool {
	if u.shedAll.Load() {
		return false
	}
	select {
	case u.slots <- struct{}{}:
		return true
	default:
	}
	if u.waiting.Add(1) > int64(u.cfg.MaxQueue) {
		u.waiting.Add(-1)
		return false
	}
	defer u.waiting.Add(-1)
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// execute counts the execution and waits for the path's execution time. It returns false if the client
// disconnects meanwhile.
func (u *Upstream) execute(r *http.Request) bool {
	defer func() { <-u.slots }()
	u.running.Add(1)
	defer u.running.Add(-1)
	id := r.Header.Get(RequestIDHeader)
	u.mu.Lock()
	u.executed[id]++
	u.mu.Unlock()
	work := u.workTime(r.URL.Path)
	if work == 0 {
		return true
	}
	select {
	case <-time.After(work):
		return true
	case <-r.Context().Done():
		u.mu.Lock()
		defer u.mu.Unlock()
		u.cancelled = append(u.cancelled, id)
		return false
	}
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, size int) {
	remaining, _ := header.ReadDeadline(r.Header)
	body, err := json.Marshal(UpstreamAnswer{
		Service:    u.cfg.Service,
		ID:         r.Header.Get(RequestIDHeader),
		Method:     r.Method,
		Path:       r.URL.Path,
		Bytes:      size,
		DeadlineMs: remaining.Milliseconds(),
	})
	if err != nil {
		panic(err)
	}
	w.Header().Set(ServiceHeader, u.cfg.Service)
	w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	switch Break(u.breakMode.Load()) {
	case BreakAfter:
		panic(http.ErrAbortHandler)
	case BreakTruncate:
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case BreakGarbage:
		u.writeGarbage(w)
	case BreakNone, BreakBefore:
		_, _ = w.Write(body)
	}
}

func (u *Upstream) writeGarbage(w http.ResponseWriter) {
	raw, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = raw.Write([]byte("\x00\x01garbage\r\n\r\n"))
	_ = raw.Close()
}

// announce posts announcements to the agent until ctx ends.
func (u *Upstream) announce(ctx context.Context) {
	if u.cfg.AgentURL == "" {
		return
	}
	ticker := time.NewTicker(u.cfg.Interval)
	defer ticker.Stop()
	for {
		if u.postAnnouncement(ctx) == nil {
			u.announced.Add(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-u.announceNow:
		}
	}
}

func (u *Upstream) postAnnouncement(ctx context.Context) error {
	body, err := json.Marshal(u.announcement())
	if err != nil {
		return fmt.Errorf("encoding announcement: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, u.cfg.Interval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.cfg.AgentURL+"/announce", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("building announcement: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("announcing: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("announcing: status %d", resp.StatusCode)
	}
	return nil
}

func (u *Upstream) announcement() upstream.Announcement {
	u.mu.Lock()
	state := u.state
	u.mu.Unlock()
	if state == "" {
		state = upstream.StateReady
		if time.Since(u.started) < u.cfg.StartupTime {
			state = upstream.StateStarting
		}
	}
	return upstream.Announcement{Service: u.cfg.Service, Address: u.Address(), Slots: u.cfg.Slots, State: state}
}
