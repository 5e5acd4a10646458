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
	// maxStoredBody is the size in bytes up to which an answer's body is stored for repeated requests.
	maxStoredBody  = 4 << 10
	ticketCapacity = 1 << 14
	ticketLifetime = 15 * time.Minute
)

// ExecutorConfig configures an Executor.
type ExecutorConfig struct {
	Address netip.AddrPort // of this agent, the issuer of its tickets
	BootID  uint64         // identifies this start of the agent
	Peers   *peer.Client
}

// Executor runs the request of each ticket at most once, here or at the agent that issued the ticket.
type Executor struct {
	config     ExecutorConfig
	mu         sync.Mutex // guards tickets
	runRequest func(context.Context, Call) ticket.Answer
	sealer     atomic.Pointer[ticket.Sealer] // nil before the first Configure
	service    atomic.Uint32
	tickets    *ticket.Registry
}

// NewExecutor returns an executor without tickets.
func NewExecutor(config ExecutorConfig) *Executor {
	return &Executor{
		config:  config,
		tickets: ticket.NewRegistry(ticket.RegistryConfig{Capacity: ticketCapacity, Lifetime: ticketLifetime}),
	}
}

// Configure sets the service for which tickets are issued and their sealer.
func (e *Executor) Configure(service uint16, sealer *ticket.Sealer) {
	e.service.Store(uint32(service))
	e.sealer.Store(sealer)
}

// Issue returns a new ticket, or an Unavailable fault before the first Configure.
func (e *Executor) Issue() (string, error) {
	sealer := e.sealer.Load()
	if sealer == nil {
		return "", fault.New(fault.Unavailable, "there is no ticket secret", "add one with a patch")
	}
	e.mu.Lock()
	sequence := e.tickets.Issue(time.Now())
	e.mu.Unlock()
	return sealer.Seal(ticket.Ticket{
		BootID:   e.config.BootID,
		Issuer:   e.config.Address,
		Sequence: sequence,
		Service:  uint16(e.service.Load()),
	})
}

// Execute runs a ticket's request or returns the answer of its earlier run.
func (e *Executor) Execute(ctx context.Context, text string, call Call) ticket.Answer {
	sealer := e.sealer.Load()
	if sealer == nil {
		return notRun(http.StatusServiceUnavailable, "notConfigured")
	}
	opened, err := sealer.Open(text)
	if err != nil || opened.Service != uint16(e.service.Load()) {
		return ticket.Answer{Reason: "ticketNotOurs; get one from " + ticket.IssuePath, Status: http.StatusPreconditionFailed}
	}
	if opened.Issuer != e.config.Address {
		return e.forwardToIssuer(ctx, opened.Issuer, text, call)
	}
	if opened.BootID != e.config.BootID {
		return unknown("issuerGone")
	}
	return e.runOnce(ctx, opened.Sequence, call)
}

// runOnce runs the request of a ticket that this agent issued, or returns the answer of its earlier run.
func (e *Executor) runOnce(ctx context.Context, sequence uint64, call Call) ticket.Answer {
	waited := make(chan ticket.Answer, 1)
	e.mu.Lock()
	decision, stored := e.tickets.Begin(time.Now(), sequence, func(answer ticket.Answer) { waited <- answer })
	e.mu.Unlock()
	switch decision {
	case ticket.DecisionReplay:
		return stored
	case ticket.DecisionForgotten:
		return unknown("ticketExpired")
	case ticket.DecisionWait:
		select {
		case answer := <-waited:
			return answer
		case <-ctx.Done():
			return unknown("stillRunning")
		}
	}
	answer := e.runRequest(ctx, call)
	e.mu.Lock()
	e.tickets.Finish(sequence, storedAnswer(answer))
	e.mu.Unlock()
	return answer
}

// storedAnswer returns the answer as it is stored: without a large body, so that memory stays bounded.
func storedAnswer(answer ticket.Answer) ticket.Answer {
	if len(answer.Body) > maxStoredBody {
		answer.Body = nil
		answer.Reason = "answerNotKept"
	}
	return answer
}

// forwardToIssuer sends the request to the agent that issued its ticket, the only process that may run it.
func (e *Executor) forwardToIssuer(ctx context.Context, issuer netip.AddrPort, text string, call Call) ticket.Answer {
	ctx, cancel := context.WithTimeout(ctx, issuerTimeout)
	defer cancel()
	args := peer.RunArgs{Body: call.Body, Header: call.Header, Method: call.Method, Path: call.Path, Ticket: text}
	var reply peer.RunReply
	if err := e.config.Peers.Call(ctx, issuer, peer.MethodRun, args, &reply); err != nil {
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

// Agent serves the RPCs of other agents.
type Agent struct {
	Executor *Executor
}

// Run runs the request of a ticket that this agent issued, or returns the answer of its earlier run.
func (a *Agent) Run(args peer.RunArgs, reply *peer.RunReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), issuerTimeout)
	defer cancel()
	opened, err := a.open(args.Ticket)
	if err != nil {
		return err
	}
	answer := unknown("issuerGone")
	if opened.Issuer == a.Executor.config.Address && opened.BootID == a.Executor.config.BootID {
		call := Call{Body: args.Body, Header: args.Header, Method: args.Method, Path: args.Path}
		answer = a.Executor.runOnce(ctx, opened.Sequence, call)
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
	sealer := a.Executor.sealer.Load()
	if sealer == nil {
		return ticket.Ticket{}, fault.New(fault.Unavailable, "there is no ticket secret", "add one with a patch")
	}
	return sealer.Open(text)
}
