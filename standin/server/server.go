package server

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/cyclamendock/cyclamendock/lib/ticket"
	"github.com/cyclamendock/cyclamendock/lib/trace"
	"github.com/cyclamendock/cyclamendock/standin/listen"
)

const (
	chunkSize     = 8 << 10 // bytes
	coldSlowdown  = 3
	defaultChunks = 8
	feedInterval  = 200 * time.Millisecond
	maxChunks     = 1024
	// NameHeader names the backend server in its answers.
	NameHeader = "Backend-Server"
)

// A Config holds how a backend server behaves.
type Config struct {
	ColdFor time.Duration // how long it is slow after its start
	Name    string
	Slots   int
	Tracer  *trace.Tracer
	Typical time.Duration // of one request while cool
}

// A Mood is how a backend server misbehaves.
type Mood struct {
	CutAfterRun bool   // close the connection instead of answering a booking that has run
	Draining    bool   // what the health endpoint says
	Health      string // a lie for the health endpoint
	Load        string // a lie, or an old answer, for the load endpoint
	Shed        bool   // every request
	Slowdown    float64
}

// A Run is one booking that has run.
type Run struct {
	Booking string
	Trace   string
}

// A Server answers feeds, documents, slot queries and bookings.
type Server struct {
	config  Config
	mood    Mood
	mu      sync.Mutex
	runs    []Run
	started time.Time
	running int
}

// NewServer returns a cold server.
func NewServer(config Config) *Server {
	return &Server{config: config, mood: Mood{Slowdown: 1}, started: time.Now()}
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context, address string) error {
	return listen.Serve(ctx, address, s.Handler())
}

// Handler returns the backend server's HTTP API, with /mood and /runs for tests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /documents/{name}", s.slotted(s.document))
	mux.HandleFunc("GET /feed", s.feed)
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("GET /runs", s.listRuns)
	mux.HandleFunc("GET /slots", s.slotted(s.slotList))
	mux.HandleFunc("POST /bookings", s.slotted(s.book))
	mux.HandleFunc("POST /mood", s.setMood)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(NameHeader, s.config.Name)
		mux.ServeHTTP(w, r)
	})
}

// slotted turns requests away in so many words when no slot is free.
func (s *Server) slotted(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.running >= s.config.Slots || s.mood.Shed {
			s.mu.Unlock()
			w.Header().Set(ticket.OutcomeHeader, ticket.NotRun.String())
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.running++
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			s.running--
			s.mu.Unlock()
		}()
		ctx := trace.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := s.config.Tracer.Start(ctx, "run request", "path", r.URL.Path)
		defer span.End()
		next(w, r.WithContext(ctx))
	}
}

// work takes the time of one request and reports false when the request was cancelled meanwhile.
func (s *Server) work(ctx context.Context) bool {
	s.mu.Lock()
	factor := s.mood.Slowdown
	if time.Since(s.started) < s.config.ColdFor {
		factor *= coldSlowdown
	}
	s.mu.Unlock()
	select {
	case <-time.After(time.Duration(float64(s.config.Typical) * factor)):
		return true
	case <-ctx.Done():
		return false
	}
}

// book runs a booking and writes it down before it answers.
func (s *Server) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, chunkSize))
	if err != nil || !s.work(r.Context()) {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{Booking: string(body), Trace: r.Header.Get("Traceparent")})
	cut := s.mood.CutAfterRun
	s.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "booked %s\n", body)
}

// document streams chunks and says beforehand what their checksum is.
func (s *Server) document(w http.ResponseWriter, r *http.Request) {
	if !s.work(r.Context()) {
		return
	}
	chunks, err := strconv.Atoi(r.URL.Query().Get("chunks"))
	if err != nil || chunks < 1 || chunks > maxChunks {
		chunks = defaultChunks
	}
	pause, _ := time.ParseDuration(r.URL.Query().Get("pause"))
	chunk := documentChunk(r.PathValue("name"))
	sum := crc32.NewIEEE()
	for range chunks {
		_, _ = sum.Write(chunk)
	}
	w.Header().Set("Content-Checksum", strconv.FormatUint(uint64(sum.Sum32()), 16))
	w.Header().Set("Content-Length", strconv.Itoa(chunks*len(chunk)))
	for range chunks {
		if _, err := w.Write(chunk); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(pause)
	}
}

func documentChunk(name string) []byte {
	chunk := make([]byte, 0, chunkSize)
	for len(chunk) < chunkSize {
		chunk = append(chunk, name...)
		chunk = append(chunk, ' ')
	}
	return chunk[:chunkSize]
}

// feed writes a numbered line now and then until the caller leaves.
func (s *Server) feed(w http.ResponseWriter, r *http.Request) {
	ticker := time.NewTicker(feedInterval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		if _, err := fmt.Fprintf(w, "event %d\n", number); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) slotList(w http.ResponseWriter, r *http.Request) {
	if s.work(r.Context()) {
		_, _ = io.WriteString(w, "9:00 free\n10:00 taken\n")
	}
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.mood.Health != "":
		_, _ = io.WriteString(w, s.mood.Health)
	case s.mood.Draining:
		_, _ = io.WriteString(w, "draining")
	default:
		_, _ = io.WriteString(w, "good")
	}
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mood.Load != "" {
		_, _ = io.WriteString(w, s.mood.Load)
		return
	}
	_, _ = fmt.Fprintf(w, "%d of %d\n", s.running, s.config.Slots)
}

func (s *Server) listRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs)
}

func (s *Server) setMood(w http.ResponseWriter, r *http.Request) {
	mood := Mood{Slowdown: 1}
	if err := json.NewDecoder(r.Body).Decode(&mood); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mood = mood
}
