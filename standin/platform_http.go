package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"endiveflow.example/endiveflow/platform"
)

// maxWatchWait bounds how long a watch is held.
const maxWatchWait = time.Minute

// Handler serves the object API and, for trials by hand, GET and PUT /switches
// and GET /calls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects", p.guard("list", p.serveList))
	mux.HandleFunc("GET /objects/{key...}", p.guard("get", p.serveGet))
	mux.HandleFunc("PUT /objects/{key...}", p.guard("put", p.servePut))
	mux.HandleFunc("GET /watch", p.guard("watch", p.serveWatch))
	mux.HandleFunc("GET /switches", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Switches()) })
	mux.HandleFunc("PUT /switches", p.serveSwitches)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) })
	return mux
}

// guard applies the switches that concern every call.
func (p *Platform) guard(op string, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switches, ok := p.enter(op)
		if !ok {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if switches.Delay > 0 {
			time.Sleep(switches.Delay)
		}
		serve(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (p *Platform) serveSwitches(w http.ResponseWriter, r *http.Request) {
	var s Switches
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Set(s)
	writeJSON(w, s)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	o, ok := p.get(r.PathValue("key"))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", strconv.Quote(fmt.Sprint(o.Version)))
	_, _ = w.Write(o.Value)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	writeJSON(w, p.list(r.FormValue("prefix"), r.FormValue("from"), limit))
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	base, err := baseVersion(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		http.Error(w, "value is too large or incomplete", http.StatusRequestEntityTooLarge)
		return
	}
	version, ok := p.put(r.PathValue("key"), value, base)
	if !ok {
		http.Error(w, fmt.Sprintf("object has version %d", version), http.StatusPreconditionFailed)
		return
	}
	if p.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", strconv.Quote(fmt.Sprint(version)))
}

// baseVersion reads the condition of a write, which must have one.
func baseVersion(h http.Header) (uint64, error) {
	if h.Get("If-None-Match") == "*" {
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(h.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("reading If-Match: %w", err)
	}
	return version, nil
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.FormValue("wait"))
	if err != nil || wait < 0 || wait > maxWatchWait {
		http.Error(w, "wait is not a duration up to "+maxWatchWait.String(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l, woken, kept := p.changed(r.FormValue("prefix"), after)
		if !kept {
			http.Error(w, "revision is no longer kept", http.StatusGone)
			return
		}
		if len(l.Objects) > 0 {
			writeJSON(w, l)
			return
		}
		select {
		case <-woken:
			if p.Switches().Outage {
				http.Error(w, "outage", http.StatusServiceUnavailable)
				return
			}
		case <-timer.C:
			writeJSON(w, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// Transport returns a transport that calls the platform without sockets, so
// that tests can run it under synthetic time.
func (p *Platform) Transport() http.RoundTripper { return transport{p.Handler()} }

type transport struct{ handler http.Handler }

// RoundTrip serves the request in a goroutine that may outlive the caller's
// context: like a server, it does not learn at once that the caller gave up.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	answered := make(chan *http.Response, 1)
	go func() {
		defer close(answered)
		defer func() {
			if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // recover gives the very value that net/http documents.
				panic(v)
			}
		}()
		recorder := httptest.NewRecorder()
		t.handler.ServeHTTP(recorder, r)
		answered <- recorder.Result()
	}()
	select {
	case res, ok := <-answered:
		if !ok {
			return nil, io.ErrUnexpectedEOF
		}
		return res, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
