package serve

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/admit"
	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/retry"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/ticket"
	"github.com/cyclamendock/cyclamendock/lib/trace"
)

const (
	copyBuffer   = 32 << 10
	maxAnswer    = 1 << 20 // bytes of a mutating request's answer
	maxBody      = 64 << 10
	retryBurst   = 10
	retryDelay   = 50 * time.Millisecond
	retryPerCent = 10
)

// A HandlerConfig holds what a Handler needs.
type HandlerConfig struct {
	Backend *Backend
	Runs    *Runs
	Slots   *Slots
	Stats   *stats.Server
	Tracer  *trace.Tracer
}

// A Handler answers the requests of callers.
type Handler struct {
	budget   *retry.Budget
	budgetMu sync.Mutex
	config   HandlerConfig
	service  atomic.Pointer[config.Service]
}

// NewHandler returns a handler that refuses everything before its first configuration.
func NewHandler(c HandlerConfig) *Handler {
	h := &Handler{budget: retry.NewBudget(retry.Config{Burst: retryBurst, Ratio: retryPerCent}), config: c}
	c.Runs.run = h.runTicket
	return h
}

// Configure applies the kinds of work of the service.
func (h *Handler) Configure(service config.Service) { h.service.Store(&service) }

// ServeHTTP answers one request with its outcome.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, span := h.config.Tracer.Start(r.Context(), "serve request", "method", r.Method, "path", r.URL.Path)
	defer span.End()
	service := h.service.Load()
	if service == nil {
		refuse(w, http.StatusServiceUnavailable, "notConfigured")
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == ticket.IssuePath {
		h.issue(w)
		return
	}
	index, ok := service.Match(r.Method, r.URL.Path)
	if !ok {
		refuse(w, http.StatusNotFound, "unknownKindOfWork")
		return
	}
	kind := service.Kinds[index]
	switch kind.Class {
	case config.ClassFeed:
		h.feed(ctx, w, r)
	case config.ClassMutating:
		h.mutate(ctx, w, r)
	default:
		h.read(ctx, w, r, index, kind)
	}
}

func (h *Handler) issue(w http.ResponseWriter) {
	text, err := h.config.Runs.Issue()
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "noTicket")
		return
	}
	w.Header().Set(ticket.TicketHeader, text)
	_, _ = io.WriteString(w, text+"\n")
}

// feed streams a long response without holding a slot.
func (h *Handler) feed(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	response, err := h.config.Backend.Send(ctx, callOf(r, nil))
	if err != nil {
		h.fail(w, err)
		return
	}
	h.stream(w, response)
}

// read carries a request that may be repeated.
func (h *Handler) read(ctx context.Context, w http.ResponseWriter, r *http.Request, index int, kind config.Kind) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, "bodyTooLarge")
		return
	}
	call := callOf(r, body)
	call.Deadline = deadlineOf(r.Header, kind)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id, reason := h.config.Slots.Acquire(ctx, index, call.Deadline)
	if reason != "" {
		h.refuseAdmission(w, kind, reason)
		return
	}
	defer h.config.Slots.Release(id)
	// The deadline ends with the response's header, so that it never cuts a body in progress.
	timeout := time.AfterFunc(time.Until(call.Deadline), cancel)
	response, err := h.send(ctx, index, kind, call)
	timeout.Stop()
	if err != nil {
		h.fail(w, err)
		return
	}
	h.stream(w, response)
}

// mutate carries a request that must not be repeated, under its ticket.
func (h *Handler) mutate(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	text := r.Header.Get(ticket.TicketHeader)
	if text == "" {
		refuse(w, http.StatusPreconditionRequired, "ticketMissing; get one from "+ticket.IssuePath)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, "bodyTooLarge")
		return
	}
	answer := h.config.Runs.Do(ctx, text, callOf(r, body))
	h.count(answer.Outcome, answer.Reason)
	writeAnswer(w, answer)
}

// runTicket makes the one run of a ticket's request; it goes on when the caller leaves after it has started.
func (h *Handler) runTicket(ctx context.Context, call Call) ticket.Answer {
	service := h.service.Load()
	index, ok := service.Match(call.Method, pathOf(call.Path))
	if !ok {
		return notRun(http.StatusNotFound, "unknownKindOfWork")
	}
	kind := service.Kinds[index]
	call.Deadline = deadlineOf(call.Header, kind)
	id, reason := h.config.Slots.Acquire(ctx, index, call.Deadline)
	if reason != "" {
		return notRun(statusOf(reason), string(reason))
	}
	defer h.config.Slots.Release(id)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer cancel()
	response, err := h.send(ctx, index, kind, call)
	if err != nil {
		return failed(err)
	}
	return readAnswer(response)
}

// send makes attempts until one was not turned away, within budget and deadline.
func (h *Handler) send(ctx context.Context, index int, kind config.Kind, call Call) (*http.Response, error) {
	h.withBudget(func(b *retry.Budget) { b.Request() })
	for {
		started := time.Now()
		response, err := h.config.Backend.Send(ctx, call)
		if err == nil {
			h.config.Slots.Sample(index, time.Since(started), false)
			h.config.Stats.Counter("cyclamendock_agent_served_total", "kind", kind.Name).Inc()
			return response, nil
		}
		if !fault.Is(err, fault.Missing) || !h.mayRetry(ctx, kind, call.Deadline) {
			return nil, err
		}
		h.config.Slots.Sample(index, 0, true)
		h.config.Stats.Counter("cyclamendock_agent_retries_total", "kind", kind.Name).Inc()
		time.Sleep(retryDelay)
	}
}

func (h *Handler) mayRetry(ctx context.Context, kind config.Kind, deadline time.Time) bool {
	if ctx.Err() != nil {
		return false
	}
	allowed := false
	h.withBudget(func(b *retry.Budget) { allowed = b.Allow(time.Now(), deadline, retryDelay+kind.Typical) })
	return allowed
}

func (h *Handler) withBudget(use func(*retry.Budget)) {
	h.budgetMu.Lock()
	defer h.budgetMu.Unlock()
	use(h.budget)
}

// stream copies a response as it comes.
func (h *Handler) stream(w http.ResponseWriter, response *http.Response) {
	defer response.Body.Close()
	copyHeader(w.Header(), response.Header)
	w.Header().Set(ticket.OutcomeHeader, ticket.Ran.String())
	w.WriteHeader(response.StatusCode)
	h.count(ticket.Ran, "")
	flusher, _ := w.(http.Flusher)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return
			}
			flush(flusher)
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func flush(flusher http.Flusher) {
	if flusher != nil {
		flusher.Flush()
	}
}

func (h *Handler) fail(w http.ResponseWriter, err error) {
	answer := failed(err)
	h.count(answer.Outcome, answer.Reason)
	writeAnswer(w, answer)
}

func (h *Handler) refuseAdmission(w http.ResponseWriter, kind config.Kind, reason admit.Reason) {
	h.count(ticket.NotRun, string(reason))
	h.config.Stats.Counter("cyclamendock_agent_refused_total", "kind", kind.Name, "reason", string(reason)).Inc()
	refuse(w, statusOf(reason), string(reason))
}

func (h *Handler) count(outcome ticket.Outcome, reason string) {
	h.config.Stats.Counter("cyclamendock_agent_outcomes_total", "outcome", outcome.String(), "reason", reason).Inc()
}

func callOf(r *http.Request, body []byte) Call {
	return Call{Body: body, Header: r.Header, Method: r.Method, Path: r.URL.RequestURI()}
}

func pathOf(uri string) string {
	for i := range uri {
		if uri[i] == '?' {
			return uri[:i]
		}
	}
	return uri
}

// deadlineOf returns the caller's deadline or the kind's timeout, whichever is earlier.
func deadlineOf(header http.Header, kind config.Kind) time.Time {
	timeout := kind.Timeout
	asked, err := strconv.ParseInt(header.Get(ticket.DeadlineHeader), 10, 64)
	if err == nil && asked >= 0 && asked < timeout.Milliseconds() {
		timeout = time.Duration(asked) * time.Millisecond
	}
	return time.Now().Add(timeout)
}
