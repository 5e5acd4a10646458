package tuple

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// eraHeader is the response header with the store's era.
const eraHeader = "Store-Era"

// pageSize is the greatest number of objects in one response to a list request.
const pageSize = 3

// ServeHTTP handles one request, subject to the injected faults.
func (o *ObjectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := o.currentFault()
	time.Sleep(fault.Delay)
	if fault.Silent {
		<-r.Context().Done()
		return
	}
	w.Header().Set(eraHeader, strconv.FormatUint(o.currentEra(), 10))
	if fault.Status != 0 {
		w.WriteHeader(fault.Status)
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

func (o *ObjectStore) currentFault() StoreFault {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fault
}

func (o *ObjectStore) currentEra() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.era
}

func (o *ObjectStore) list(w http.ResponseWriter, r *http.Request, kind string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Lists++
	o.listCounts[kind]++
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
	bodies := make([]string, len(items))
	for i, item := range items {
		bodies[i] = item.encode()
	}
	writeBody(w, http.StatusOK, fmt.Sprintf(`{"as_of":%d,"has_more":%t,"items":[%s]}`, o.revision, more, strings.Join(bodies, ",")))
}

func (o *ObjectStore) read(w http.ResponseWriter, key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Reads++
	object, ok := o.objects[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeBody(w, http.StatusOK, object.encode())
}

func (o *ObjectStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	o.mu.Lock()
	o.counts.Watches++
	startEra := o.era
	o.mu.Unlock()
	for {
		o.mu.Lock()
		unknownRevision := from < o.droppedRevision || from > o.revision
		events, revision, changed := o.eventsSince(kind, from), o.revision, o.changed
		restored, keepsWatches := o.era != startEra, o.fault.KeepsWatches
		o.mu.Unlock()
		if restored && !keepsWatches {
			panic(http.ErrAbortHandler) // closes the connection
		}
		if restored {
			events, unknownRevision = nil, false
		}
		if unknownRevision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeBody(w, http.StatusOK, encodeEvents(revision, events))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeBody(w, http.StatusOK, encodeEvents(revision, nil))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (o *ObjectStore) eventsSince(kind string, from uint64) []Event {
	var events []Event
	for _, event := range o.events {
		if event.kind == kind && event.Object.Meta.Revision > from {
			events = append(events, event)
		}
	}
	return events
}

func (o *ObjectStore) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent Object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodDelete {
		sent.Meta.Revision, _ = strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	}
	o.mu.Lock()
	if o.fault.LateWrites > 0 && (o.fault.LateMethod == "" || o.fault.LateMethod == r.Method) {
		o.fault.LateWrites--
		time.AfterFunc(o.fault.LateBy, func() { o.applyLate(r.Method, kind, name, sent) })
		o.mu.Unlock()
		<-r.Context().Done()
		return
	}
	status, object := o.apply(r.Method, kind, name, sent)
	loseResponse := o.fault.UnansweredWrites > 0
	if loseResponse {
		o.fault.UnansweredWrites--
	}
	o.mu.Unlock()
	if loseResponse {
		<-r.Context().Done()
		return
	}
	writeBody(w, status, object.encode())
}

// applyLate executes a write whose request got no response.
func (o *ObjectStore) applyLate(method, kind, name string, sent Object) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.apply(method, kind, name, sent)
	o.counts.LateWrites++
}

// encode returns the object as JSON, with its content as it was written.
func (o Object) encode() string {
	spec := string(o.Spec)
	if spec == "" {
		spec = "null"
	}
	return fmt.Sprintf(`{"meta":{"name":%q,"revision":%d},"spec":%s}`, o.Meta.Name, o.Meta.Revision, spec)
}

// encodeEvents returns events as the JSON body of the response to a watch.
func encodeEvents(revision uint64, events []Event) string {
	bodies := make([]string, len(events))
	for i, event := range events {
		bodies[i] = fmt.Sprintf(`{"deleted":%t,"object":%s}`, event.Deleted, event.Object.encode())
	}
	return fmt.Sprintf(`{"as_of":%d,"events":[%s]}`, revision, strings.Join(bodies, ","))
}

func writeBody(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body) // fails only when the client has disconnected
}

var _ http.Handler = (*ObjectStore)(nil)
