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

const (
	// maxWatchWaitMs bounds how long a watch may wait, in milliseconds.
	maxWatchWaitMs = 30_000
	// maxMetaBytes bounds the body of a write apart from the value.
	maxMetaBytes = 4 << 10
)

// Handler serves the object API and, for manual trials, GET and PUT /switches and GET /calls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}", p.serveKind)
	mux.HandleFunc("POST /objects/{kind}", p.withSwitches("put", p.servePut))
	mux.HandleFunc("GET /objects/{kind}/{name}", p.withSwitches("get", p.serveGet))
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.withSwitches("put", p.servePut))
	mux.HandleFunc("DELETE /objects/{kind}/{name}", p.withSwitches("delete", p.serveDelete))
	mux.HandleFunc("GET /switches", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Switches()) })
	mux.HandleFunc("PUT /switches", p.serveSwitches)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(eraWriter{w, p}, r)
	})
}

// eraWriter adds the header with the store's era to an answer, as of the moment when the answer begins.
type eraWriter struct {
	http.ResponseWriter
	platform *Platform
}

// WriteHeader implements http.ResponseWriter.
func (w eraWriter) WriteHeader(status int) {
	w.setEra()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w eraWriter) Write(b []byte) (int, error) {
	w.setEra()
	return w.ResponseWriter.Write(b)
}

func (w eraWriter) setEra() {
	w.Header().Set("Store-Era", strconv.FormatUint(w.platform.currentEra(), 10))
}

// withSwitches applies the switches that affect every call.
func (p *Platform) withSwitches(op string, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switches, ok := p.countCall(op)
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
	p.SetSwitches(s)
	writeJSON(w, s)
}

// keyOf returns the key of the named object of the request's kind.
func keyOf(r *http.Request, name string) string {
	return r.PathValue("kind") + "/" + strings.ReplaceAll(name, "~", "/")
}

// wireObject is the JSON form of an object.
type wireObject struct {
	Meta wireMeta        `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type wireMeta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

func wireObjectOf(o platform.Object) wireObject {
	_, name, _ := strings.Cut(o.Key, "/")
	return wireObject{Meta: wireMeta{Name: strings.ReplaceAll(name, "/", "~"), Revision: o.Version}, Spec: o.Value}
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	o, ok := p.get(keyOf(r, r.PathValue("name")))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, wireObjectOf(o))
}

func (p *Platform) serveKind(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("watch") != "" {
		p.withSwitches("watch", p.serveWatch)(w, r)
		return
	}
	p.withSwitches("list", p.serveList)(w, r)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	l := p.list(keyOf(r, ""), keyOf(r, r.FormValue("after")))
	items := []wireObject{}
	for _, o := range l.objects {
		items = append(items, wireObjectOf(o))
	}
	writeJSON(w, struct {
		Items         []wireObject `json:"items"`
		HasMore       bool         `json:"hasMore"`
		StoreRevision uint64       `json:"storeRevision"`
	}{items, l.more, l.revision})
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes+maxMetaBytes))
	if err != nil {
		http.Error(w, "value is too large or incomplete", http.StatusRequestEntityTooLarge)
		return
	}
	var o wireObject
	if err := json.Unmarshal(body, &o); err != nil || len(o.Spec) == 0 {
		http.Error(w, "body is no object", http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		o.Meta.Revision = 0
	}
	key := keyOf(r, o.Meta.Name)
	version, ok := p.put(key, o.Spec, o.Meta.Revision)
	if !ok {
		http.Error(w, fmt.Sprintf("object has version %d", version), http.StatusConflict)
		return
	}
	if p.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, wireObjectOf(platform.Object{Key: key, Version: version, Value: o.Spec}))
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	key := keyOf(r, r.PathValue("name"))
	o, ok := p.get(key)
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	if want := r.FormValue("revision"); want != "" && want != fmt.Sprint(o.Version) {
		http.Error(w, fmt.Sprintf("object has version %d", o.Version), http.StatusConflict)
		return
	}
	if _, ok := p.put(key, nil, o.Version); !ok {
		http.Error(w, "object changed", http.StatusConflict)
		return
	}
	writeJSON(w, wireObjectOf(o))
}

// event is one change in the answer to a watch.
type event struct {
	Object  wireObject `json:"object"`
	Deleted bool       `json:"deleted"`
}

func writeEvents(w http.ResponseWriter, l page) {
	events := []event{}
	for _, o := range l.objects {
		deleted := o.Value == nil
		if deleted {
			o.Value = []byte("null")
		}
		events = append(events, event{Object: wireObjectOf(o), Deleted: deleted})
	}
	writeJSON(w, struct {
		Events        []event `json:"events"`
		StoreRevision uint64  `json:"storeRevision"`
	}{events, l.revision})
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("watch"), 10, 64)
	if err != nil {
		http.Error(w, "watch is not a revision", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.FormValue("waitMs"))
	if err != nil || wait < 0 || wait > maxWatchWaitMs {
		http.Error(w, fmt.Sprintf("waitMs is not a number up to %d", maxWatchWaitMs), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		l, wakeup, available := p.changesAfter(keyOf(r, ""), after)
		if !available {
			http.Error(w, "revision is no longer kept", http.StatusGone)
			return
		}
		if len(l.objects) > 0 {
			writeEvents(w, l)
			return
		}
		select {
		case <-wakeup:
			if p.Switches().Outage {
				http.Error(w, "outage", http.StatusServiceUnavailable)
				return
			}
		case <-timer.C:
			writeEvents(w, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// Transport returns a transport that calls the platform without sockets, so that tests can run in synthetic
// time.
func (p *Platform) Transport() http.RoundTripper { return transport{p.Handler()} }

type transport struct{ handler http.Handler }

// RoundTrip serves the request in a goroutine that may outlive the caller's context: like a real server, it
// does not notice immediately that the caller abandoned the request.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	responses := make(chan *http.Response, 1)
	go func() {
		defer close(responses)
		defer func() {
			if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // recover gives the very value that net/http documents.
				panic(v)
			}
		}()
		recorder := httptest.NewRecorder()
		t.handler.ServeHTTP(recorder, r)
		responses <- recorder.Result()
	}()
	select {
	case res, ok := <-responses:
		if !ok {
			return nil, io.ErrUnexpectedEOF
		}
		return res, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
