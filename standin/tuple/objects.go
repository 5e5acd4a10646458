package tuple

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is how many objects one answer to a list holds.
const pageSize = 3

// A Mood is how the store misbehaves.
type Mood struct {
	Delay      time.Duration
	LoseWrites int // writes that are done and not answered
	Silent     bool
	Status     int // of every answer, when not zero
}

// Counts are the calls that the store has had.
type Counts struct {
	Lists   int
	Reads   int
	Watches int
	Writes  int
}

// Meta is the part of an object that the store keeps by itself.
type Meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// An Object is one object of the store.
type Object struct {
	Meta Meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// An Event is one change.
type Event struct {
	Deleted bool   `json:"deleted"`
	Object  Object `json:"object"`
	kind    string
}

// Objects is the platform's object store over HTTP.
type Objects struct {
	changed  chan struct{}
	counts   Counts
	dropped  uint64 // revision up to which the history is gone
	events   []Event
	mood     Mood
	mu       sync.Mutex
	objects  map[string]Object
	revision uint64
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{changed: make(chan struct{}), objects: map[string]Object{}, revision: 10}
}

// Set writes an object as the operator does.
func (o *Objects) Set(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err) // only a mistake in a test
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.put(kind, Object{Meta: Meta{Name: name}, Spec: value})
}

// Names returns the names of a kind's objects, in order.
func (o *Objects) Names(kind string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for key := range o.objects {
		if of, name, _ := strings.Cut(key, "/"); of == kind {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// SetMood changes how the store misbehaves.
func (o *Objects) SetMood(mood Mood) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mood = mood
}

// Counts returns the calls so far.
func (o *Objects) Counts() Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts
}

// DropHistory forgets all changes so far, and does not tell the watches that wait.
func (o *Objects) DropHistory() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropped = o.revision
	o.events = nil
}

// ServeHTTP answers one call.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mood := o.currentMood()
	time.Sleep(mood.Delay)
	if mood.Silent {
		<-r.Context().Done()
		return
	}
	if mood.Status != 0 {
		w.WriteHeader(mood.Status)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		o.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		o.list(w, r, kind)
	case r.Method == http.MethodGet:
		o.read(w, kind+"/"+name)
	default:
		o.write(w, r, kind, name)
	}
}

func (o *Objects) currentMood() Mood {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.mood
}

func (o *Objects) list(w http.ResponseWriter, r *http.Request, kind string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Lists++
	var items []Object
	for key, object := range o.objects {
		if strings.HasPrefix(key, kind+"/") && object.Meta.Name > r.URL.Query().Get("after") {
			items = append(items, object)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	answer(w, http.StatusOK, map[string]any{"as_of": o.revision, "has_more": more, "items": items})
}

func (o *Objects) read(w http.ResponseWriter, key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Reads++
	object, ok := o.objects[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, object)
}

func (o *Objects) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	o.mu.Lock()
	o.counts.Watches++
	o.mu.Unlock()
	for {
		o.mu.Lock()
		gone := from < o.dropped
		events, revision, changed := o.since(kind, from), o.revision, o.changed
		o.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"as_of": revision, "events": events})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"as_of": revision, "events": []Event{}})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (o *Objects) since(kind string, from uint64) []Event {
	var events []Event
	for _, event := range o.events {
		if event.kind == kind && event.Object.Meta.Revision > from {
			events = append(events, event)
		}
	}
	return events
}

func (o *Objects) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent Object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	status, object := o.apply(r.Method, kind, name, sent)
	lost := o.mood.LoseWrites > 0
	if lost {
		o.mood.LoseWrites--
	}
	o.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	answer(w, status, object)
}

func (o *Objects) apply(method, kind, name string, sent Object) (int, Object) {
	o.counts.Writes++
	if method == http.MethodPost {
		name = sent.Meta.Name
	}
	known, exists := o.objects[kind+"/"+name]
	switch {
	case method == http.MethodDelete:
		o.remove(kind, known, exists)
		return http.StatusOK, known
	case method == http.MethodPost && exists, method == http.MethodPut && exists && sent.Meta.Revision != 0 && sent.Meta.Revision != known.Meta.Revision:
		return http.StatusConflict, known
	case method == http.MethodPut && !exists:
		return http.StatusNotFound, Object{}
	}
	sent.Meta.Name = name
	return http.StatusOK, o.put(kind, sent)
}

func (o *Objects) put(kind string, object Object) Object {
	o.revision++
	object.Meta.Revision = o.revision
	o.objects[kind+"/"+object.Meta.Name] = object
	o.tell(Event{Object: object, kind: kind})
	return object
}

func (o *Objects) remove(kind string, object Object, exists bool) {
	if !exists {
		return
	}
	delete(o.objects, kind+"/"+object.Meta.Name)
	o.revision++
	object.Meta.Revision = o.revision
	o.tell(Event{Deleted: true, Object: object, kind: kind})
}

func (o *Objects) tell(event Event) {
	o.events = append(o.events, event)
	close(o.changed)
	o.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a client that is gone needs no answer
}

var _ http.Handler = (*Objects)(nil)
