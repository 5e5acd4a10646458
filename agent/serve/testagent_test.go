package serve

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/ticket"
	"github.com/cyclamendock/cyclamendock/lib/trace"
	"github.com/cyclamendock/cyclamendock/lib/trust"
)

// fakeBackend is a backend server whose handler a test can replace and which counts the runs of each booking.
type fakeBackend struct {
	handle       http.HandlerFunc
	mu           sync.Mutex
	requestCount int
	runs         map[string]int // by booking
	server       *httptest.Server
}

func newFakeBackend(t *testing.T) *fakeBackend {
	b := &fakeBackend{runs: map[string]int{}}
	b.handle = b.run
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.requestCount++
		handle := b.handle
		b.mu.Unlock()
		handle(w, r)
	}))
	t.Cleanup(b.server.Close)
	return b
}

// run records a booking and answers with its name.
func (b *fakeBackend) run(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	b.runs[string(body)]++
	b.mu.Unlock()
	_, _ = io.WriteString(w, "booked "+string(body))
}

// shed rejects a request and states that it was not run.
func (b *fakeBackend) shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(ticket.OutcomeHeader, ticket.NotRun.String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (b *fakeBackend) setHandler(handle http.HandlerFunc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handle = handle
}

func (b *fakeBackend) runsOf(booking string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[booking]
}

func (b *fakeBackend) requestsSeen() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requestCount
}

func (b *fakeBackend) address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(b.server.URL, "http://"))
}

// testAgent is the request handling of an agent, without QUIC.
type testAgent struct {
	backend  *fakeBackend
	executor *Executor
	handler  *Handler
	server   *peer.Server
	slots    *Slots
}

func testService() config.Service {
	return config.Service{
		ID: 1,
		Kinds: []config.Kind{
			{Class: config.ClassFeed, Method: "GET", Name: "board", PathPrefix: "/feed"},
			{
				Class: config.ClassMutating, Method: "POST", Name: "booking", PathPrefix: "/bookings",
				QueueLimit: 100, Share: 50, Timeout: 3 * time.Second, TypicalDuration: 10 * time.Millisecond, Urgency: 2,
			},
			{
				Class: config.ClassRead, Method: "GET", Name: "document", PathPrefix: "/documents",
				QueueLimit: 100, Share: 50, Timeout: 500 * time.Millisecond, TypicalDuration: 10 * time.Millisecond, Urgency: 1,
			},
		},
		MaxConnections: 2000,
		Name:           "service",
		Slots:          4,
	}
}

// newTestAgent starts a test agent that serves the RPCs of other agents at the given address.
func newTestAgent(t *testing.T, backend *fakeBackend, address string, boot uint64) *testAgent {
	t.Helper()
	g := gomega.NewWithT(t)
	tracer, err := trace.NewTracer(trace.Config{Output: trace.Off})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	peers := peer.NewClient()
	t.Cleanup(peers.Close)
	executor := NewExecutor(ExecutorConfig{Address: netip.MustParseAddrPort(address), BootID: boot, Peers: peers})
	slots := NewSlots(time.Now())
	handler := NewHandler(HandlerConfig{
		Backend:  NewBackend(BackendConfig{Address: backend.address(), HealthPath: "/health", Tracer: tracer}),
		Executor: executor,
		Slots:    slots,
		Stats:    stats.NewServer(stats.Config{}),
		Tracer:   tracer,
	})
	sealer, err := ticket.NewSealer(make([]byte, ticket.SecretLength))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	slots.Configure(time.Now(), testService())
	handler.Configure(testService())
	executor.Configure(1, sealer)
	a := &testAgent{backend: backend, executor: executor, handler: handler, slots: slots}
	a.listen(t, address)
	return a
}

func (a *testAgent) listen(t *testing.T, address string) {
	t.Helper()
	server, err := peer.NewServer(peer.ServerConfig{
		Address:  netip.MustParseAddrPort(address),
		Services: map[string]any{"Agent": &Agent{Executor: a.executor}},
		Trust:    trust.NewAllowlist([]netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}),
	})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	a.server = server
	server.Start()
	t.Cleanup(server.Close)
}

// do handles one request and returns its response.
func (a *testAgent) do(ctx context.Context, method, path, ticketText, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(ctx)
	if ticketText != "" {
		request.Header.Set(ticket.TicketHeader, ticketText)
	}
	recorder := httptest.NewRecorder()
	a.handler.ServeHTTP(recorder, request)
	return recorder
}

func (a *testAgent) book(ctx context.Context, ticketText, booking string) *httptest.ResponseRecorder {
	return a.do(ctx, http.MethodPost, "/bookings", ticketText, booking)
}

func (a *testAgent) newTicket(t *testing.T) string {
	t.Helper()
	answer := a.do(context.Background(), http.MethodGet, ticket.IssuePath, "", "")
	gomega.NewWithT(t).Expect(answer.Code).To(gomega.Equal(http.StatusOK))
	return strings.TrimSpace(answer.Body.String())
}

func outcomeOf(answer *httptest.ResponseRecorder) string {
	return answer.Header().Get(ticket.OutcomeHeader)
}

func (s *Slots) runningCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controller.Running()
}
