package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store: GET, POST, PUT and DELETE of objects, lists and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]*object
	events   []event
	changed  chan struct{}
	// mode is how the store fails: busy, silent or slow; empty if it doesn't.
	mode string
}

func (s *store) setMode(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
	kind   string
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() *store {
	return &store{revision: 500, objects: make(map[string]*object), changed: make(chan struct{})}
}

// bump records an event; s.mu is held.
func (s *store) bump(o *object, deleted bool) {
	s.revision++
	o.Meta.Revision = s.revision
	s.events = append(s.events, event{*o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case "busy":
		s.answer(w, 503, map[string]string{"error": "busy"})
		return
	case "silent":
		<-r.Context().Done()
		return
	case "slow":
		time.Sleep(240 * time.Millisecond)
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	q := r.URL.Query()
	if r.Method == http.MethodGet && name == "" && q.Get("watch") != "" {
		s.watch(w, r, kind)
		return
	}
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			s.answer(w, 400, map[string]string{"error": "body"})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method {
	case http.MethodGet:
		if name == "" {
			s.list(w, kind, q.Get("after"))
			return
		}
		if o := s.objects[kind+"/"+name]; o != nil {
			s.answer(w, 200, o)
			return
		}
		s.answer(w, 404, map[string]string{"error": "not found"})
	case http.MethodPost:
		if o := s.objects[kind+"/"+in.Meta.Name]; o != nil {
			s.answer(w, 409, o)
			return
		}
		s.answer(w, 200, s.create(kind, in.Meta.Name, in.Spec))
	case http.MethodPut:
		o := s.objects[kind+"/"+name]
		switch {
		case o == nil:
			s.answer(w, 404, map[string]string{"error": "not found"})
		case in.Meta.Revision != 0 && in.Meta.Revision != o.Meta.Revision:
			s.answer(w, 409, o)
		case string(in.Spec) == string(o.Spec):
			s.answer(w, 200, o)
		default:
			next := *o
			next.Spec, next.Meta.Finalizers = in.Spec, in.Meta.Finalizers
			s.objects[kind+"/"+name] = &next
			s.bump(&next, false)
			s.answer(w, 200, next)
		}
	case http.MethodDelete:
		o := s.objects[kind+"/"+name]
		want, _ := strconv.ParseUint(q.Get("revision"), 10, 64)
		switch {
		case o == nil:
			s.answer(w, 404, map[string]string{"error": "not found"})
		case want != 0 && want != o.Meta.Revision:
			s.answer(w, 409, o)
		default:
			delete(s.objects, kind+"/"+name)
			gone := *o
			s.bump(&gone, true)
			s.answer(w, 200, gone)
		}
	default:
		s.answer(w, 405, map[string]string{"error": "method"})
	}
}

func (s *store) create(kind, name string, spec json.RawMessage) object {
	o := &object{kind: kind, Spec: spec, Status: json.RawMessage("null"), Meta: meta{Name: name, Finalizers: []string{}}}
	s.objects[kind+"/"+name] = o
	s.bump(o, false)
	o.Meta.Created = o.Meta.Revision
	return *o
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	items := []object{}
	for _, o := range s.objects {
		if o.kind == kind && o.Meta.Name > after {
			items = append(items, *o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	s.answer(w, 200, map[string]any{"items": items, "hasMore": false, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	limit := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.Object.kind == kind && e.Object.Meta.Revision > from {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			s.answer(w, 200, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-limit:
			s.answer(w, 200, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// put writes an object as the operator does; the return is the acknowledgement.
func (s *store) put(kind, name string, spec any) {
	b, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind+"/"+name]; o != nil {
		next := *o
		next.Spec = b
		s.objects[kind+"/"+name] = &next
		s.bump(&next, false)
		return
	}
	s.create(kind, name, b)
}

// remove deletes an object as the operator does.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind+"/"+name]; o != nil {
		delete(s.objects, kind+"/"+name)
		gone := *o
		s.bump(&gone, true)
	}
}
