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

// A Mood is how the platform misbehaves.
type Mood struct {
	Delay       time.Duration
	Down        bool
	LoseAnswers int // of the next writes that take effect
}

// Counts are the calls that the platform has answered or refused.
type Counts struct {
	Lists   int
	Reads   int
	Watches int
	Writes  int
}

// A Platform serves objects over HTTP.
type Platform struct {
	counts Counts
	memory *store.Memory
	mood   Mood
	mu     sync.Mutex
}

// NewPlatform returns an empty platform that behaves well.
func NewPlatform() *Platform { return &Platform{memory: store.NewMemory()} }

// Run serves until the context ends.
func (p *Platform) Run(ctx context.Context, address string) error {
	return listen.Serve(ctx, address, p.Handler())
}

// Handler returns the platform's HTTP API, with /mood and /counts for tests.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", p.getCounts)
	mux.HandleFunc("POST /mood", p.setMood)
	mux.HandleFunc("DELETE /objects/{key...}", p.whileUp(p.remove))
	mux.HandleFunc("GET /objects", p.whileUp(p.list))
	mux.HandleFunc("GET /objects/{key...}", p.whileUp(p.get))
	mux.HandleFunc("PUT /objects/{key...}", p.whileUp(p.put))
	return mux
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(p.counts)
}

func (p *Platform) setMood(w http.ResponseWriter, r *http.Request) {
	var mood Mood
	if err := json.NewDecoder(r.Body).Decode(&mood); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mood = mood
}

func (p *Platform) whileUp(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		mood := p.mood
		p.mu.Unlock()
		time.Sleep(mood.Delay)
		if mood.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.count(func(c *Counts) { c.Lists++ })
	objects, _ := p.memory.List(r.Context(), r.URL.Query().Get("prefix"))
	_ = json.NewEncoder(w).Encode(objects)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if r.URL.Query().Has("after") {
		p.watch(w, r, key)
		return
	}
	p.count(func(c *Counts) { c.Reads++ })
	object, err := p.memory.Get(r.Context(), key)
	answer(w, object, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key string) {
	p.count(func(c *Counts) { c.Watches++ })
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	timeout, _ := time.ParseDuration(r.URL.Query().Get("timeout"))
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	object, err := p.memory.Watch(ctx, key, after)
	if p.down() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	answer(w, object, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	p.count(func(c *Counts) { c.Writes++ })
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValue))
	if err != nil {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	expected, _ := strconv.ParseUint(r.URL.Query().Get("expected"), 10, 64)
	object, err := p.memory.Put(r.Context(), r.PathValue("key"), value, expected)
	if err == nil && strings.HasPrefix(object.Key, "config/") && p.losesAnswer() {
		http.Error(w, "lost", http.StatusGatewayTimeout)
		return
	}
	answer(w, object, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.count(func(c *Counts) { c.Writes++ })
	_ = p.memory.Delete(r.Context(), r.PathValue("key"))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) down() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mood.Down
}

func (p *Platform) losesAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mood.LoseAnswers == 0 {
		return false
	}
	p.mood.LoseAnswers--
	return true
}

func (p *Platform) count(add func(*Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(&p.counts)
}

func answer(w http.ResponseWriter, object store.Object, err error) {
	switch {
	case fault.Is(err, fault.Missing):
		w.WriteHeader(http.StatusNotFound)
	case fault.Is(err, fault.Stale):
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		w.Header().Set(store.VersionHeader, strconv.FormatUint(object.Version, 10))
		_, _ = w.Write(object.Value)
	}
}
