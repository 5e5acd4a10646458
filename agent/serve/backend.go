package serve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/ticket"
	"github.com/cyclamendock/cyclamendock/lib/trace"
)

const (
	dialTimeout  = time.Second
	probeTimeout = 2 * time.Second
	// unreachableLimit is how many health probes in a row may find nobody listening.
	unreachableLimit = 2
)

// A Health is what the backend server's health endpoint says.
type Health int

const (
	// HealthGood means that the backend server answers.
	HealthGood Health = iota
	// HealthDraining means that the backend server asks for no more work.
	HealthDraining
	// HealthUnreachable means that nobody listens.
	HealthUnreachable
)

// A BackendConfig holds what a Backend needs.
type BackendConfig struct {
	Address    netip.AddrPort
	HealthPath string
	Tracer     *trace.Tracer
}

// A Backend sends requests to the one backend server beside the agent.
type Backend struct {
	config   BackendConfig
	http     *http.Client
	mu       sync.Mutex
	unheard  int
	draining bool
}

// NewBackend returns a backend that has not connected yet.
func NewBackend(config BackendConfig) *Backend {
	transport := &http.Transport{
		DisableCompression:    true,
		MaxIdleConnsPerHost:   16,
		ResponseHeaderTimeout: 0,
	}
	return &Backend{config: config, http: &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport:     transport,
	}}
}

// A Call is one request to the backend server.
type Call struct {
	Body     []byte
	Deadline time.Time // zero for none
	Header   http.Header
	Method   string
	Path     string // with its query
}

// Send makes one attempt. It returns a Missing fault when the request was never sent or was shed,
// and an Unavailable fault when the backend server may have run it.
func (b *Backend) Send(ctx context.Context, call Call) (*http.Response, error) {
	ctx, span := b.config.Tracer.Start(ctx, "call backend server", "path", call.Path)
	defer span.End()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := b.request(ctx, call)
	if err != nil {
		return nil, err
	}
	response, err := b.http.Do(request)
	if err != nil {
		return nil, unanswered(err, sent.Load())
	}
	if shed(response) {
		_ = response.Body.Close()
		return nil, fault.New(fault.Missing, "the backend server shed the request", "try again later")
	}
	return response, nil
}

// Probe asks the health endpoint; it needs several failures to call the backend server unreachable.
func (b *Backend) Probe(ctx context.Context) Health {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reached, draining := b.askHealth(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	if reached {
		b.unheard = 0
		b.draining = draining
	} else {
		b.unheard++
	}
	switch {
	case b.unheard >= unreachableLimit:
		return HealthUnreachable
	case b.draining:
		return HealthDraining
	default:
		return HealthGood
	}
}

// askHealth reports whether somebody listens and whether the backend server drains.
func (b *Backend) askHealth(ctx context.Context) (reached, draining bool) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := b.request(ctx, Call{Method: http.MethodGet, Path: b.config.HealthPath})
	if err != nil {
		return false, false
	}
	response, err := b.http.Do(request)
	if err != nil {
		return connected.Load(), false
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(response.Body, 64))
	return true, bytes.Contains(body, []byte("draining"))
}

func (b *Backend) request(ctx context.Context, call Call) (*http.Request, error) {
	target := "http://" + b.config.Address.String() + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, target, io.NopCloser(bytes.NewReader(call.Body)))
	if err != nil {
		return nil, fault.Wrap(err, fault.Missing, "the request can't be sent", "correct its path")
	}
	request.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		request.Body = http.NoBody
	}
	copyHeader(request.Header, call.Header)
	if !call.Deadline.IsZero() {
		left := time.Until(call.Deadline).Milliseconds()
		request.Header.Set(ticket.DeadlineHeader, strconv.FormatInt(max(left, 0), 10))
	}
	trace.Inject(ctx, propagation.HeaderCarrier(request.Header))
	return request, nil
}

func unanswered(err error, sent bool) error {
	if !sent {
		return fault.Wrap(err, fault.Missing, "the backend server can't be reached", "try again later")
	}
	return fault.Wrap(err, fault.Unavailable, "the backend server did not answer", "ask what became of the request")
}

// shed reports whether the backend server says that it has not run the request.
func shed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(ticket.OutcomeHeader) == ticket.NotRun.String()
}

// hopHeaders are those that concern one connection, or that make HTTP clients repeat requests by themselves.
var hopHeaders = []string{
	"Connection", "Idempotency-Key", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "X-Idempotency-Key",
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
	for _, name := range hopHeaders {
		dst.Del(name)
	}
}
