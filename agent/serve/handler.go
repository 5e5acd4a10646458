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
	copyBufferSize = 32 << 10
	maxAnswerBody  = 1 << 20  // bytes, of the answer to a mutating request
	maxRequestBody = 64 << 10 // bytes
	retryBurst     = 10       // retries that may be saved up
	retryPause     = 50 * time.Millisecond
	retryPercent   = 10 // retries earned per 100 requests
)

// HandlerConfig configures a Handler.
type HandlerConfig struct {
	Backend  *Backend
	Executor *Executor
	Slots    *Slots
	Stats    *stats.Server
	Tracer   *trace.Tracer
}

// Handler answers the requests of callers.
type Handler struct {
	budget   *retry.Budget
	budgetMu sync.Mutex
	config   HandlerConfig
	service  atomic.Pointer[config.Service]
}

// NewHandler returns a handler that rejects all requests before the first Configure.
func NewHandler(c HandlerConfig) *Handler {
	h := &Handler{budget: retry.NewBudget(retry.Config{Burst: retryBurst, Ratio: retryPercent}), config: c}
	c.Executor.runRequest = h.runMutating
	return h
}

// Configure applies the configuration of the service.
func (h *Handler) Configure(service config.Service) { h.service.Store(&service) }

// ServeHTTP answers one request and names its outcome in a header.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, span := h.config.Tracer.Start(r.Context(), "serve request", "method", r.Method, "path", r.URL.Path)
	defer span.End()
	service := h.service.Load()
	if service == nil {
		writeNotRun(w, http.StatusServiceUnavailable, "notConfigured")
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == ticket.IssuePath {
		h.issueTicket(w)
		return
	}
	index, ok := service.Match(r.Method, r.URL.Path)
	if !ok {
		writeNotRun(w, http.StatusNotFound, "unknownKindOfWork")
		return
	}
	kind := service.Kinds[index]
	switch kind.Class {
	case config.ClassFeed:
		h.serveFeed(ctx, w, r)
	case config.ClassMutating:
		h.serveMutating(ctx, w, r)
	default:
		h.serveRead(ctx, w, r, index, kind)
	}
}

func (h *Handler) issueTicket(w http.ResponseWriter) {
	text, err := h.config.Executor.Issue()
	if err != nil {
		writeNotRun(w, http.StatusServiceUnavailable, "noTicket")
		return
	}
	w.Header().Set(ticket.TicketHeader, text)
	_, _ = io.WriteString(w, text+"\n")
}

// serveFeed streams a long-lived response, which does not occupy a slot.
func (h *Handler) serveFeed(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	response, err := h.config.Backend.Send(ctx, callOf(r, nil))
	if err != nil {
		h.writeFault(w, err)
		return
	}
	h.stream(w, response)
}

// serveRead forwards a request that is safe to repeat.
func (h *Handler) serveRead(ctx context.Context, w http.ResponseWriter, r *http.Request, index int, kind config.Kind) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		writeNotRun(w, http.StatusRequestEntityTooLarge, "bodyTooLarge")
		return
	}
	call := callOf(r, body)
	call.Deadline = deadlineOf(r.Header, kind)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id, reason := h.config.Slots.Acquire(ctx, index, call.Deadline)
	if reason != "" {
		h.writeRefusal(w, kind, reason)
		return
	}
	defer h.config.Slots.Release(id)
	// The deadline applies only until the response header arrives, so that it never truncates a body.
	timeout := time.AfterFunc(time.Until(call.Deadline), cancel)
	response, err := h.send(ctx, index, kind, call)
	timeout.Stop()
	if err != nil {
		h.writeFault(w, err)
		return
	}
	h.stream(w, response)
}

// serveMutating runs a request that must not be repeated, identified by its ticket.
func (h *Handler) serveMutating(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	text := r.Header.Get(ticket.TicketHeader)
	if text == "" {
		writeNotRun(w, http.StatusPreconditionRequired, "ticketMissing; get one from "+ticket.IssuePath)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		writeNotRun(w, http.StatusRequestEntityTooLarge, "bodyTooLarge")
		return
	}
	answer := h.config.Executor.Execute(ctx, text, callOf(r, body))
	h.countOutcome(answer.Outcome, answer.Reason)
	writeAnswer(w, answer)
}

// runMutating runs a ticket's request. Once the request has a slot, it continues even if the caller disconnects.
func (h *Handler) runMutating(ctx context.Context, call Call) ticket.Answer {
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
		return answerForFault(err)
	}
	return readAnswer(response)
}

// send retries a request that was not run, as long as the retry budget and the deadline allow.
func (h *Handler) send(ctx context.Context, index int, kind config.Kind, call Call) (*http.Response, error) {
	h.withBudget(func(b *retry.Budget) { b.RecordRequest() })
	for {
		started := time.Now()
		response, err := h.config.Backend.Send(ctx, call)
		if err == nil {
			h.config.Slots.RecordResult(index, time.Since(started), false)
			h.config.Stats.Counter("cyclamendock_agent_served_total", "kind", kind.Name).Inc()
			return response, nil
		}
		if !fault.Is(err, fault.Missing) || !h.mayRetry(ctx, kind, call.Deadline) {
			return nil, err
		}
		h.config.Slots.RecordResult(index, 0, true)
		h.config.Stats.Counter("cyclamendock_agent_retries_total", "kind", kind.Name).Inc()
		time.Sleep(retryPause)
	}
}

func (h *Handler) mayRetry(ctx context.Context, kind config.Kind, deadline time.Time) bool {
	if ctx.Err() != nil {
		return false
	}
	allowed := false
	h.withBudget(func(b *retry.Budget) { allowed = b.Allow(time.Now(), deadline, retryPause+kind.TypicalDuration) })
	return allowed
}

func (h *Handler) withBudget(use func(*retry.Budget)) {
	h.budgetMu.Lock()
	defer h.budgetMu.Unlock()
	use(h.budget)
}

// stream copies a response to the caller and flushes each part as it arrives.
func (h *Handler) stream(w http.ResponseWriter, response *http.Response) {
	defer response.Body.Close()
	copyHeader(w.Header(), response.Header)
	w.Header().Set(ticket.OutcomeHeader, ticket.Ran.String())
	w.WriteHeader(response.StatusCode)
	h.countOutcome(ticket.Ran, "")
	flusher, _ := w.(http.Flusher)
	buffer := make([]byte, copyBufferSize)
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

func (h *Handler) writeFault(w http.ResponseWriter, err error) {
	answer := answerForFault(err)
	h.countOutcome(answer.Outcome, answer.Reason)
	writeAnswer(w, answer)
}

func (h *Handler) writeRefusal(w http.ResponseWriter, kind config.Kind, reason admit.Reason) {
	h.countOutcome(ticket.NotRun, string(reason))
	h.config.Stats.Counter("cyclamendock_agent_refused_total", "kind", kind.Name, "reason", string(reason)).Inc()
	writeNotRun(w, statusOf(reason), string(reason))
}

func (h *Handler) countOutcome(outcome ticket.Outcome, reason string) {
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
	requestedMS, err := strconv.ParseInt(header.Get(ticket.DeadlineHeader), 10, 64)
	if err == nil && requestedMS >= 0 && requestedMS < timeout.Milliseconds() {
		timeout = time.Duration(requestedMS) * time.Millisecond
	}
	return time.Now().Add(timeout)
}
