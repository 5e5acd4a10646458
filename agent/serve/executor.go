package serve

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/ticket"
)

const (
	issuerTimeout = 20 * time.Second
	// maxKept is the greatest body in bytes that is kept for repeats.
	maxKept        = 4 << 10
	ticketCapacity = 1 << 14
	ticketLifetime = 15 * time.Minute
)

// A RunsConfig holds what Runs needs.
type RunsConfig struct {
	Address netip.AddrPort
	Boot    uint64
	Calls   *peer.Client
}

// Runs gives every ticket at most one run, here or at the agent that issued it.
type Runs struct {
	book    *ticket.Book
	config  RunsConfig
	mu      sync.Mutex
	run     func(context.Context, Call) ticket.Answer
	sealer  atomic.Pointer[ticket.Sealer]
	service atomic.Uint32
}

// NewRuns returns runs that know no ticket.
func NewRuns(config RunsConfig) *Runs {
	return &Runs{
		book:   ticket.NewBook(ticket.BookConfig{Capacity: ticketCapacity, Lifetime: ticketLifetime}),
		config: config,
	}
}

// Configure sets the service and the secret of tickets.
func (r *Runs) Configure(service uint16, sealer *ticket.Sealer) {
	r.service.Store(uint32(service))
	r.sealer.Store(sealer)
}

// Issue returns a new ticket, or an Unavailable fault before the first configuration.
func (r *Runs) Issue() (string, error) {
	sealer := r.sealer.Load()
	if sealer == nil {
		return "", fault.New(fault.Unavailable, "there is no ticket secret", "add one with a patch")
	}
	r.mu.Lock()
	sequence := r.book.Issue(time.Now())
	r.mu.Unlock()
	return sealer.Seal(ticket.Ticket{
		Boot:     r.config.Boot,
		Issuer:   r.config.Address,
		Sequence: sequence,
		Service:  uint16(r.service.Load()),
	})
}

// Do returns the one answer of a ticket's request.
func (r *Runs) Do(ctx context.Context, text string, call Call) ticket.Answer {
	sealer := r.sealer.Load()
	if sealer == nil {
		return notRun(http.StatusServiceUnavailable, "notConfigured")
	}
	opened, err := sealer.Open(text)
	if err != nil || opened.Service != uint16(r.service.Load()) {
		return ticket.Answer{Reason: "ticketNotOurs; get one from " + ticket.IssuePath, Status: http.StatusPreconditionFailed}
	}
	if opened.Issuer != r.config.Address {
		return r.ask(ctx, opened.Issuer, text, call)
	}
	if opened.Boot != r.config.Boot {
		return unknown("issuerGone")
	}
	return r.runOnce(ctx, opened.Sequence, call)
}

// runOnce runs the request unless its ticket has been used, in which case it gives the answer of that run.
func (r *Runs) runOnce(ctx context.Context, sequence uint64, call Call) ticket.Answer {
	waited := make(chan ticket.Answer, 1)
	r.mu.Lock()
	verdict, stored := r.book.Begin(time.Now(), sequence, func(answer ticket.Answer) { waited <- answer })
	r.mu.Unlock()
	switch verdict {
	case ticket.Repeat:
		return stored
	case ticket.Forgotten:
		return unknown("ticketExpired")
	case ticket.Wait:
		select {
		case answer := <-waited:
			return answer
		case <-ctx.Done():
			return unknown("stillRunning")
		}
	}
	answer := r.run(ctx, call)
	r.mu.Lock()
	r.book.Finish(sequence, kept(answer))
	r.mu.Unlock()
	return answer
}

// kept returns what is remembered of an answer, so that memory stays bounded.
func kept(answer ticket.Answer) ticket.Answer {
	if len(answer.Body) > maxKept {
		answer.Body = nil
		answer.Reason = "answerNotKept"
	}
	return answer
}

// ask forwards the request to the issuer of its ticket, the only process that may run it.
func (r *Runs) ask(ctx context.Context, issuer netip.AddrPort, text string, call Call) ticket.Answer {
	ctx, cancel := context.WithTimeout(ctx, issuerTimeout)
	defer cancel()
	args := peer.RunArgs{Body: call.Body, Header: call.Header, Method: call.Method, Path: call.Path, Ticket: text}
	var reply peer.RunReply
	if err := r.config.Calls.Call(ctx, issuer, peer.MethodRun, args, &reply); err != nil {
		return unknown("issuerAway")
	}
	return ticket.Answer{
		Body:    reply.Body,
		Outcome: ticket.Outcome(reply.Outcome),
		Reason:  reply.Reason,
		Status:  reply.Status,
		Type:    reply.Type,
	}
}

// Agent answers the calls of other agents.
type Agent struct {
	Runs *Runs
}

// Run makes or repeats the one run of a ticket that this agent issued.
func (a *Agent) Run(args peer.RunArgs, reply *peer.RunReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), issuerTimeout)
	defer cancel()
	opened, err := a.open(args.Ticket)
	if err != nil {
		return err
	}
	answer := unknown("issuerGone")
	if opened.Issuer == a.Runs.config.Address && opened.Boot == a.Runs.config.Boot {
		call := Call{Body: args.Body, Header: args.Header, Method: args.Method, Path: args.Path}
		answer = a.Runs.runOnce(ctx, opened.Sequence, call)
	}
	*reply = peer.RunReply{
		Body:    answer.Body,
		Outcome: int(answer.Outcome),
		Reason:  answer.Reason,
		Status:  answer.Status,
		Type:    answer.Type,
	}
	return nil
}

func (a *Agent) open(text string) (ticket.Ticket, error) {
	sealer := a.Runs.sealer.Load()
	if sealer == nil {
		return ticket.Ticket{}, fault.New(fault.Unavailable, "there is no ticket secret", "add one with a patch")
	}
	return sealer.Open(text)
}
