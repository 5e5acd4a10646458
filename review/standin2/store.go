package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Meta struct {
		Name           string   `json:"name"`
		Revision       uint64   `json:"revision"`
		CreateRevision uint64   `json:"create_revision"`
		Finalizers     []string `json:"finalizers"`
		Deleting       bool     `json:"deleting"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// store is the platform's metadata store, without any disruption.
type store struct {
	changed  chan struct{} // closed and replaced with each change
	events   []event
	mu       sync.Mutex
	objects  map[string]map[string]object
	revision uint64
	server   *http.Server
}

func newStore(address string) (*store, error) {
	s := &store{changed: make(chan struct{}), objects: map[string]map[string]object{}, revision: 100}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, kind)
	default:
		var body object
		if r.Method == http.MethodPost || r.Method == http.MethodPut {
			if json.NewDecoder(r.Body).Decode(&body) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		if revision, err := strconv.ParseUint(query.Get("revision"), 10, 64); err == nil {
			body.Meta.Revision = revision
		}
		if r.Method == http.MethodPost {
			name = body.Meta.Name
		}
		status, answer := s.apply(r.Method, kind, name, body)
		reply(w, status, answer)
	}
}

func reply(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// apply makes one call on one object.
func (s *store) apply(method, kind, name string, body object) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][name]
	switch method {
	case http.MethodGet:
		if !exists {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, current
	case http.MethodPost:
		if exists {
			return http.StatusConflict, current
		}
		s.revision++
		body.Meta.Revision, body.Meta.CreateRevision = s.revision, s.revision
		s.put(kind, body)
		return http.StatusOK, body
	case http.MethodPut:
		if !exists {
			return http.StatusNotFound, nil
		}
		if body.Meta.Revision != 0 && body.Meta.Revision != current.Meta.Revision {
			return http.StatusConflict, current
		}
		if string(body.Spec) == string(current.Spec) {
			return http.StatusOK, current
		}
		s.revision++
		current.Meta.Revision, current.Spec = s.revision, body.Spec
		s.put(kind, current)
		return http.StatusOK, current
	case http.MethodDelete:
		if !exists {
			return http.StatusNotFound, nil
		}
		if body.Meta.Revision != 0 && body.Meta.Revision != current.Meta.Revision {
			return http.StatusConflict, current
		}
		s.revision++
		delete(s.objects[kind], name)
		s.record(event{Object: current, Deleted: true, kind: kind}, s.revision)
		return http.StatusOK, current
	}
	return http.StatusMethodNotAllowed, nil
}

func (s *store) put(kind string, o object) {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Meta.Name] = o
	s.record(event{Object: o, kind: kind}, s.revision)
}

func (s *store) record(e event, revision uint64) {
	e.Object.Meta.Revision = revision
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	asOf := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Revision > from {
				found = append(found, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": found, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}
