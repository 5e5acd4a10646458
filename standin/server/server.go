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
	// NameHeader is the response header that contains the backend server's name.
	NameHeader = "Backend-Server"
)

// Config configures a Server.
type Config struct {
	Name           string
	ServiceTime    time.Duration // service time of a request without slowdown
	Slots          int           // concurrent requests
	Tracer         *trace.Tracer
	WarmupDuration time.Duration // warm-up period after the start, in which requests take three times as long
}

// Faults selects the faults that a backend server injects; without any, Slowdown is 1.
type Faults struct {
	CutAfterRun bool    // run a booking, then close the connection instead of responding
	Draining    bool    // the health endpoint reports draining
	Health      string  // overrides the response of the health endpoint unless empty
	Load        string  // overrides the response of the load endpoint unless empty
	Shed        bool    // refuse every request that needs a slot
	Slowdown    float64 // factor of the service time
}

// BookingRun records one run of a booking.
type BookingRun struct {
	Booking string // request body
	Trace   string // Traceparent header of the request
}

// Server serves feeds, documents, slot queries and bookings.
type Server struct {
	bookingRuns []BookingRun
	config      Config
	faults      Faults
	mu          sync.Mutex
	running     int // requests that occupy a slot
	startedAt   time.Time
}

// NewServer returns a server without faults whose warm-up period starts now.
func NewServer(config Config) *Server {
	return &Server{config: config, faults: Faults{Slowdown: 1}, startedAt: time.Now()}
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context, address string) error {
	return listen.Serve(ctx, address, s.Handler())
}

// Handler returns the backend server's HTTP API, with two endpoints for tests: /mood sets the faults and /runs lists the
// booking runs.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /documents/{name}", s.limitSlots(s.document))
	mux.HandleFunc("GET /feed", s.feed)
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("GET /runs", s.listBookingRuns)
	mux.HandleFunc("GET /slots", s.limitSlots(s.listSlots))
	mux.HandleFunc("POST /bookings", s.limitSlots(s.book))
	mux.HandleFunc("POST /mood", s.setFaults)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(NameHeader, s.config.Name)
		mux.ServeHTTP(w, r)
	})
}

// limitSlots refuses requests with status 503 and outcome notRun while all slots are busy or Shed is set.
func (s *Server) limitSlots(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.running >= s.config.Slots || s.faults.Shed {
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

// simulateWork waits for the service time of one request and returns false when the request is cancelled first.
func (s *Server) simulateWork(ctx context.Context) bool {
	s.mu.Lock()
	slowdown := s.faults.Slowdown
	if time.Since(s.startedAt) < s.config.WarmupDuration {
		slowdown *= coldSlowdown
	}
	s.mu.Unlock()
	select {
	case <-time.After(time.Duration(float64(s.config.ServiceTime) * slowdown)):
		return true
	case <-ctx.Done():
		return false
	}
}

// book runs a booking and records the run before it responds.
func (s *Server) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, chunkSize))
	if err != nil || !s.simulateWork(r.Context()) {
		return
	}
	s.mu.Lock()
	s.bookingRuns = append(s.bookingRuns, BookingRun{Booking: string(body), Trace: r.Header.Get("Traceparent")})
	cutConnection := s.faults.CutAfterRun
	s.mu.Unlock()
	if cutConnection {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "booked %s\n", body)
}

// document streams a document in chunks and sends its checksum in the response header.
func (s *Server) document(w http.ResponseWriter, r *http.Request) {
	if !s.simulateWork(r.Context()) {
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

// feed writes a numbered line every 200 ms until the request is cancelled.
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

func (s *Server) listSlots(w http.ResponseWriter, r *http.Request) {
	if s.simulateWork(r.Context()) {
		_, _ = io.WriteString(w, "9:00 free\n10:00 taken\n")
	}
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Health != "":
		_, _ = io.WriteString(w, s.faults.Health)
	case s.faults.Draining:
		_, _ = io.WriteString(w, "draining")
	default:
		_, _ = io.WriteString(w, "good")
	}
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Load != "" {
		_, _ = io.WriteString(w, s.faults.Load)
		return
	}
	_, _ = fmt.Fprintf(w, "%d of %d\n", s.running, s.config.Slots)
}

func (s *Server) listBookingRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.bookingRuns)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	faults := Faults{Slowdown: 1}
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}
