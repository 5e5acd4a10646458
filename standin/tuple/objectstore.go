package tuple

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// StoreFault configures the faults that the store injects.
type StoreFault struct {
	Delay            time.Duration // before each response
	KeepsWatches     bool          // watches that wait when the store is restored stay open, and get no more events
	LateBy           time.Duration // how much later LateWrites are executed
	LateMethod       string        // HTTP method of LateWrites; any when empty
	LateWrites       int           // number of writes that get no response and are executed late, if their condition still holds
	Silent           bool          // requests get no response
	Status           int           // HTTP status of every response, unless zero
	UnansweredWrites int           // number of writes that are applied but get no response
}

// RequestCounts holds the number of requests that the store has handled, by kind.
type RequestCounts struct {
	LateWrites int // writes without a response that have been executed late; included in Writes
	Lists      int
	Reads      int
	Watches    int
	Writes     int
}

// Meta identifies an object and its revision, which the store assigns.
type Meta struct {
	Name     string `json:"name"` // letters, digits and dashes
	Revision uint64 `json:"revision"`
}

// Object is a stored object.
type Object struct {
	Meta Meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// Event is one change to an object, as watches receive it.
type Event struct {
	Deleted bool   `json:"deleted"`
	Object  Object `json:"object"`
	kind    string // kind of the object
}

// ObjectStore simulates the platform's object store and serves its HTTP API.
type ObjectStore struct {
	changed         chan struct{} // closed and replaced at each change
	counts          RequestCounts
	droppedRevision uint64  // events up to this revision are dropped
	era             uint64  // rises with each restore
	events          []Event // changes after droppedRevision, in order
	fault           StoreFault
	listCounts      map[string]int // list requests by kind
	mu              sync.Mutex
	objects         map[string]Object // objects by "kind/name"
	revision        uint64            // revision of the last change
}

// NewObjectStore returns an empty store.
func NewObjectStore() *ObjectStore {
	return &ObjectStore{changed: make(chan struct{}), era: 1, listCounts: map[string]int{}, objects: map[string]Object{}, revision: 10}
}

// Set writes an object without a revision check, as the operator does.
func (o *ObjectStore) Set(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a test passed a value that can't be encoded
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.put(kind, Object{Meta: Meta{Name: name}, Spec: value})
}

// SetRaw writes an object of another writer, whose content need not be valid.
func (o *ObjectStore) SetRaw(kind, name, spec string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.put(kind, Object{Meta: Meta{Name: name}, Spec: json.RawMessage(spec)})
}

// Remove deletes an object without a revision check, as the operator does.
func (o *ObjectStore) Remove(kind, name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if object, ok := o.objects[kind+"/"+name]; ok {
		o.remove(kind, object)
	}
}

// ListCount returns the number of list requests for a kind of object.
func (o *ObjectStore) ListCount(kind string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.listCounts[kind]
}

// Names returns the sorted names of all objects of a kind.
func (o *ObjectStore) Names(kind string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for key := range o.objects {
		if objectKind, name, _ := strings.Cut(key, "/"); objectKind == kind {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Spec returns the content of an object, or nothing when there is none.
func (o *ObjectStore) Spec(kind, name string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.objects[kind+"/"+name].Spec)
}

// SetFault replaces the faults that the store injects.
func (o *ObjectStore) SetFault(fault StoreFault) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fault = fault
}

// Counts returns the number of requests handled so far.
func (o *ObjectStore) Counts() RequestCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts
}

// DropHistory drops all events so far without waking waiting watches; a watch from an older revision gets 410 Gone.
func (o *ObjectStore) DropHistory() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.droppedRevision = o.revision
	o.events = nil
}

// Backup holds the store's content at one moment.
type Backup struct {
	events   []Event
	objects  map[string]Object
	revision uint64
}

// Backup returns a copy of the present content.
func (o *ObjectStore) Backup() Backup {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Backup{events: slices.Clone(o.events), objects: maps.Clone(o.objects), revision: o.revision}
}

// Restore replaces the content by that of a backup and begins the next era. All later changes are lost, and their revisions
// are given out again.
func (o *ObjectStore) Restore(backup Backup) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.era++
	o.events = slices.Clone(backup.events)
	o.objects = maps.Clone(backup.objects)
	o.revision = backup.revision
	close(o.changed)
	o.changed = make(chan struct{})
}

// Revision returns the revision of the last change.
func (o *ObjectStore) Revision() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.revision
}

func (o *ObjectStore) apply(method, kind, name string, sent Object) (int, Object) {
	o.counts.Writes++
	if method == http.MethodPost {
		name = sent.Meta.Name
	}
	stored, exists := o.objects[kind+"/"+name]
	switch {
	case method == http.MethodPost && exists, method != http.MethodPost && exists && sent.Meta.Revision != 0 && sent.Meta.Revision != stored.Meta.Revision:
		return http.StatusConflict, stored
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, Object{}
	case method == http.MethodDelete:
		o.remove(kind, stored)
		return http.StatusOK, stored
	}
	sent.Meta.Name = name
	return http.StatusOK, o.put(kind, sent)
}

func (o *ObjectStore) put(kind string, object Object) Object {
	o.revision++
	object.Meta.Revision = o.revision
	o.objects[kind+"/"+object.Meta.Name] = object
	o.publish(Event{Object: object, kind: kind})
	return object
}

func (o *ObjectStore) remove(kind string, object Object) {
	delete(o.objects, kind+"/"+object.Meta.Name)
	o.revision++
	object.Meta.Revision = o.revision
	o.publish(Event{Deleted: true, Object: object, kind: kind})
}

func (o *ObjectStore) publish(event Event) {
	o.events = append(o.events, event)
	close(o.changed)
	o.changed = make(chan struct{})
}
