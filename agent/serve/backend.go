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
	// unreachableThreshold is how many consecutive health probes without a connection mark the backend server as
	// unreachable.
	unreachableThreshold = 2
)

// Health is the result of a health probe.
type Health int

const (
	// HealthGood means that the backend server accepts work.
	HealthGood Health = iota
	// HealthDraining means that the backend server answers but accepts no new work.
	HealthDraining
	// HealthUnreachable means that no connection to the backend server can be opened.
	HealthUnreachable
)

// BackendConfig configures a Backend.
type BackendConfig struct {
	Address    netip.AddrPort
	HealthPath string
	Tracer     *trace.Tracer
}

// Backend sends requests to the backend server beside the agent.
type Backend struct {
	config       BackendConfig
	draining     bool // result of the last probe that reached the backend server
	failedProbes int  // consecutive probes without a connection
	http         *http.Client
	mu           sync.Mutex // guards draining and failedProbes
}

// NewBackend returns a backend without open connections.
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

// Call is one request to the backend server.
type Call struct {
	Body     []byte
	Deadline time.Time // zero for none
	Header   http.Header
	Method   string
	Path     string // includes the query
}

// Send makes one attempt. It returns a Missing fault when the request was not sent or the backend server rejected it
// without running it, and an Unavailable fault when the backend server may have run it.
func (b *Backend) Send(ctx context.Context, call Call) (*http.Response, error) {
	ctx, span := b.config.Tracer.Start(ctx, "call backend server", "path", call.Path)
	defer span.End()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := b.newRequest(ctx, call)
	if err != nil {
		return nil, err
	}
	response, err := b.http.Do(request)
	if err != nil {
		return nil, noResponseFault(err, sent.Load())
	}
	if wasShed(response) {
		_ = response.Body.Close()
		return nil, fault.New(fault.Missing, "the backend server shed the request", "try again later")
	}
	return response, nil
}

// Probe requests the health endpoint and returns the backend server's health; a single failed probe does not make it
// unreachable.
func (b *Backend) Probe(ctx context.Context) Health {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reached, draining := b.checkHealth(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	if reached {
		b.failedProbes = 0
		b.draining = draining
	} else {
		b.failedProbes++
	}
	switch {
	case b.failedProbes >= unreachableThreshold:
		return HealthUnreachable
	case b.draining:
		return HealthDraining
	default:
		return HealthGood
	}
}

// checkHealth reports whether a connection could be opened and whether the backend server drains.
func (b *Backend) checkHealth(ctx context.Context) (reached, draining bool) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := b.newRequest(ctx, Call{Method: http.MethodGet, Path: b.config.HealthPath})
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

// newRequest returns the HTTP request of a call, with the time left until its deadline in the deadline header.
func (b *Backend) newRequest(ctx context.Context, call Call) (*http.Request, error) {
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

// noResponseFault returns the fault for a request without a response; sent reports whether it may have left the agent.
func noResponseFault(err error, sent bool) error {
	if !sent {
		return fault.Wrap(err, fault.Missing, "the backend server can't be reached", "try again later")
	}
	return fault.Wrap(err, fault.Unavailable, "the backend server did not answer", "repeat the request with its ticket, if it has one, to learn its outcome")
}

// wasShed reports whether the backend server rejected the request without running it.
func wasShed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(ticket.OutcomeHeader) == ticket.NotRun.String()
}

// droppedHeaders are not forwarded: they concern a single connection or make HTTP clients retry requests on their own.
var droppedHeaders = []string{
	"Connection", "Idempotency-Key", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "X-Idempotency-Key",
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
	for _, name := range droppedHeaders {
		dst.Del(name)
	}
}
