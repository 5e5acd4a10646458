package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the platform's store.
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

// store is the platform's metadata store as PROTOCOL.md describes it.
type store struct {
	changed  chan struct{}
	events   []event
	mu       sync.Mutex
	objects  map[string]object // by kind/name
	record   *record
	revision uint64

	loseDelete string        // the next DELETE of this path gets no response and is executed late
	late       time.Duration // how much later
	lost       chan struct{} // closed when such a DELETE has come
	writes     int           // writing calls since loseDelete was set
}

func newStore(r *record) *store {
	return &store{changed: make(chan struct{}), objects: map[string]object{}, record: r, revision: 1000}
}

// loseNextDelete makes the next DELETE of a path go unanswered and be executed late.
func (s *store) loseNextDelete(path string, late time.Duration) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseDelete, s.late, s.lost, s.writes = path, late, make(chan struct{}), 0
	return s.lost
}

// writeCount returns the writing calls since loseNextDelete.
func (s *store) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// names returns the names of the objects of a kind.
func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for key := range s.objects {
		if k, name, _ := strings.Cut(key, "/"); k == kind {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// put writes an object as the operator does.
func (s *store) put(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, value, nil)
}

func (s *store) write(kind, name string, spec json.RawMessage, finalizers []string) object {
	s.revision++
	o, known := s.objects[kind+"/"+name]
	o.Meta.Name, o.Meta.Revision, o.Meta.Finalizers, o.Spec = name, s.revision, finalizers, spec
	if !known {
		o.Meta.CreateRevision = s.revision
		o.Status = json.RawMessage("null")
	}
	s.objects[kind+"/"+name] = o
	s.notify(event{Object: o, kind: kind})
	return o
}

func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(kind, name string) bool {
	o, known := s.objects[kind+"/"+name]
	if !known {
		return false
	}
	s.revision++
	o.Meta.Revision = s.revision
	delete(s.objects, kind+"/"+name)
	s.notify(event{Object: o, Deleted: true, kind: kind})
	return true
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, known := s.objects[kind+"/"+name]
		s.mu.Unlock()
		if !known {
			answer(w, http.StatusNotFound, map[string]any{"error": "none"})
			return
		}
		answer(w, http.StatusOK, o)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items := []object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") && o.Meta.Name > after {
			items = append(items, o)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Revision > from {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			answer(w, http.StatusBadRequest, map[string]any{"error": "unreadable"})
			return
		}
	}
	if name == "" {
		name = sent.Meta.Name
	}
	condition := sent.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	s.writes++
	if r.Method == http.MethodDelete && s.loseDelete == kind+"/"+name {
		s.loseDelete = ""
		close(s.lost)
		s.mu.Unlock()
		s.record.note("store", "%s %s/%s condition %d: no response, will be executed in %v", r.Method, kind, name, condition, s.late)
		time.AfterFunc(s.late, func() { s.executeLate(kind, name, condition) })
		<-r.Context().Done()
		return
	}
	status, o := s.apply(r.Method, kind, name, sent, condition)
	s.mu.Unlock()
	if kind == "cyclamendock-members" {
		s.record.note("store", "%s %s/%s condition %d: %d", r.Method, kind, name, condition, status)
	}
	answer(w, status, o)
}

// executeLate executes a DELETE that got no response, if its condition still holds.
func (s *store) executeLate(kind, name string, condition uint64) {
	s.mu.Lock()
	status, _ := s.apply(http.MethodDelete, kind, name, object{}, condition)
	s.mu.Unlock()
	s.record.note("store", "late DELETE %s/%s condition %d: %d", kind, name, condition, status)
}

func (s *store) apply(method, kind, name string, sent object, condition uint64) (int, any) {
	existing, known := s.objects[kind+"/"+name]
	switch {
	case method == http.MethodPost && known:
		return http.StatusConflict, existing
	case method == http.MethodPost:
		return http.StatusCreated, s.write(kind, name, sent.Spec, sent.Meta.Finalizers)
	case !known:
		return http.StatusNotFound, map[string]any{"error": "none"}
	case condition != 0 && condition != existing.Meta.Revision:
		return http.StatusConflict, existing
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, existing
	default:
		return http.StatusOK, s.write(kind, name, sent.Spec, sent.Meta.Finalizers)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
