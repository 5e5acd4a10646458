package ticket

import "time"

// Outcome states whether a request has run.
type Outcome int

const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// NotRun means that the request has not run and will not run with this ticket.
	NotRun
	// Ran means that the backend server has answered the request.
	Ran
)

// String returns the value of OutcomeHeader.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "notRun"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Answer is the response to the caller of a request.
type Answer struct {
	Body    []byte
	Outcome Outcome
	Reason  string // value of ReasonHeader
	Status  int    // HTTP status code
	Type    string // media type of the body
}

// Decision states how to handle a request that carries a ticket.
type Decision int

const (
	// DecisionRun means that the request must be run; no other request with the ticket will be.
	DecisionRun Decision = iota
	// DecisionReplay means that the stored answer must be returned again.
	DecisionReplay
	// DecisionWait means that an earlier request with the ticket is still running.
	DecisionWait
	// DecisionForgotten means that the ticket may have been used but has no stored outcome, or was never issued.
	DecisionForgotten
)

// entry is the state of a ticket whose request has started.
type entry struct {
	answer   Answer // set once finished
	finished bool
	waiters  []func(Answer) // callbacks of further requests with the ticket
}

// RegistryConfig holds the limits of a Registry.
type RegistryConfig struct {
	Capacity int           // maximum number of unexpired tickets
	Lifetime time.Duration // validity of a ticket after its issue
}

// Registry stores the outcomes of one process's tickets in bounded memory.
type Registry struct {
	config         RegistryConfig
	entries        map[uint64]*entry // by sequence number
	issueTimes     []time.Time       // when each unexpired ticket was issued, oldest first
	minSequence    uint64            // lower sequence numbers are forgotten unless they have an entry
	nextSequence   uint64            // sequence number of the next ticket
	oldestSequence uint64            // sequence number of issueTimes[0]
}

// NewRegistry returns an empty registry whose first ticket has sequence number one.
func NewRegistry(config RegistryConfig) *Registry {
	return &Registry{config: config, entries: map[uint64]*entry{}, minSequence: 1, nextSequence: 1, oldestSequence: 1}
}

// Issue returns the sequence number of a new ticket.
func (r *Registry) Issue(now time.Time) uint64 {
	r.expire(now)
	if len(r.issueTimes) >= r.config.Capacity {
		r.forgetOldest()
	}
	r.issueTimes = append(r.issueTimes, now)
	r.nextSequence++
	return r.nextSequence - 1
}

// Begin decides how to handle a request. With DecisionWait, Finish later calls onFinish with the answer of the running
// request.
func (r *Registry) Begin(now time.Time, sequence uint64, onFinish func(Answer)) (Decision, Answer) {
	r.expire(now)
	existing := r.entries[sequence]
	switch {
	case existing != nil && existing.finished:
		return DecisionReplay, existing.answer
	case existing != nil:
		existing.waiters = append(existing.waiters, onFinish)
		return DecisionWait, Answer{}
	case sequence < r.minSequence || sequence >= r.nextSequence:
		return DecisionForgotten, Answer{}
	}
	r.entries[sequence] = &entry{}
	return DecisionRun, Answer{}
}

// Finish stores the answer of a ticket's request and passes it to the waiting requests.
func (r *Registry) Finish(sequence uint64, answer Answer) {
	running := r.entries[sequence]
	if running == nil || running.finished {
		return
	}
	waiters := running.waiters
	running.answer = answer
	running.finished = true
	running.waiters = nil
	if sequence < r.minSequence {
		delete(r.entries, sequence)
	}
	for _, waiter := range waiters {
		waiter(answer)
	}
}

// Len returns the number of tickets with a stored outcome or a running request.
func (r *Registry) Len() int { return len(r.entries) }

// expire forgets tickets older than the lifetime.
func (r *Registry) expire(now time.Time) {
	for len(r.issueTimes) > 0 && now.Sub(r.issueTimes[0]) > r.config.Lifetime {
		r.forgetOldest()
	}
}

// forgetOldest forgets the oldest ticket and raises minSequence, so that its request can never run again. The entry of
// a running request stays until Finish.
func (r *Registry) forgetOldest() {
	oldest := r.entries[r.oldestSequence]
	if oldest == nil || oldest.finished {
		delete(r.entries, r.oldestSequence)
	}
	r.issueTimes = r.issueTimes[1:]
	r.oldestSequence++
	r.minSequence = r.oldestSequence
}
