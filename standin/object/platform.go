package object

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/store"
	"github.com/cyclamendock/cyclamendock/standin/listen"
)

// Faults selects the faults that the platform injects.
type Faults struct {
	Delay       time.Duration // added to every call
	Down        bool          // every call fails with status 503
	LoseAnswers int           // number of next successful writes under config/ whose response is lost
}

// RequestCounts holds the number of calls by kind, including those that failed but not those made while the platform
// was down.
type RequestCounts struct {
	Lists   int
	Reads   int
	Watches int
	Writes  int
}

// Platform serves objects from memory over HTTP.
type Platform struct {
	backup map[string]store.Object
	counts RequestCounts
	faults Faults
	memory *store.Memory
	mu     sync.Mutex
}

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform { return &Platform{memory: store.NewMemory()} }

// Run serves until the context ends.
func (p *Platform) Run(ctx context.Context, address string) error {
	return listen.Serve(ctx, address, p.Handler())
}

// Handler returns the platform's HTTP API, with endpoints for tests: /mood sets the faults, /counts returns the request
// counts, /backup copies all objects, and /restore replaces them by the last copy, which loses all later changes.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", p.getCounts)
	mux.HandleFunc("POST /backup", p.backUp)
	mux.HandleFunc("POST /mood", p.setFaults)
	mux.HandleFunc("POST /restore", p.restore)
	mux.HandleFunc("DELETE /objects/{key...}", p.injectFaults(p.remove))
	mux.HandleFunc("GET /objects", p.injectFaults(p.list))
	mux.HandleFunc("GET /objects/{key...}", p.injectFaults(p.get))
	mux.HandleFunc("PUT /objects/{key...}", p.injectFaults(p.put))
	return mux
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(p.counts)
}

func (p *Platform) backUp(http.ResponseWriter, *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backup = p.memory.Backup()
}

func (p *Platform) restore(http.ResponseWriter, *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memory.Restore(p.backup)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// injectFaults delays or fails a call according to the current faults.
func (p *Platform) injectFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		faults := p.faults
		p.mu.Unlock()
		time.Sleep(faults.Delay)
		w.Header().Set(store.EraHeader, strconv.FormatUint(p.memory.Era(), 10))
		if faults.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.updateCounts(func(c *RequestCounts) { c.Lists++ })
	objects, version, _ := p.memory.ListAt(r.Context(), r.URL.Query().Get("prefix"))
	w.Header().Set(store.VersionHeader, version.String())
	_ = json.NewEncoder(w).Encode(objects)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if r.URL.Query().Has("known") {
		p.watch(w, r, key)
		return
	}
	p.updateCounts(func(c *RequestCounts) { c.Reads++ })
	object, err := p.memory.Get(r.Context(), key)
	writeObject(w, object, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key string) {
	p.updateCounts(func(c *RequestCounts) { c.Watches++ })
	known, err := store.ParseVersion(r.URL.Query().Get("known"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timeout, _ := time.ParseDuration(r.URL.Query().Get("timeout"))
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	object, err := p.memory.Watch(ctx, key, known)
	if p.isDown() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	writeObject(w, object, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	p.updateCounts(func(c *RequestCounts) { c.Writes++ })
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueSize))
	if err != nil {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	expected, err := store.ParseVersion(r.URL.Query().Get("expected"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	object, err := p.memory.Put(r.Context(), r.PathValue("key"), value, expected)
	if err == nil && strings.HasPrefix(object.Key, "config/") && p.takeLostAnswer() {
		http.Error(w, "lost", http.StatusGatewayTimeout)
		return
	}
	writeObject(w, object, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.updateCounts(func(c *RequestCounts) { c.Writes++ })
	expected, err := store.ParseVersion(r.URL.Query().Get("expected"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if p.memory.Delete(r.Context(), r.PathValue("key"), expected) != nil {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.Down
}

// takeLostAnswer reports whether the current write's response is to be lost, and decrements LoseAnswers if so.
func (p *Platform) takeLostAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAnswers == 0 {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func (p *Platform) updateCounts(update func(*RequestCounts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.counts)
}

func writeObject(w http.ResponseWriter, object store.Object, err error) {
	switch {
	case fault.Is(err, fault.Missing):
		w.WriteHeader(http.StatusNotFound)
	case fault.Is(err, fault.Stale):
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		w.Header().Set(store.VersionHeader, object.Version.String())
		_, _ = w.Write(object.Value)
	}
}
