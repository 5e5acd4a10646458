package ticket

import "time"

// An Outcome tells what became of a request.
type Outcome int

const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// NotRun means that the request has not run and never will under its ticket.
	NotRun
	// Ran means that the backend server answered.
	Ran
)

// String returns the outcome as callers see it.
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

// An Answer is what the caller was told.
type Answer struct {
	Body    []byte
	Outcome Outcome
	Reason  string
	Status  int
	Type    string // media type of the body
}

// A Verdict tells what to do with a request that carries a ticket.
type Verdict int

const (
	// Run means that this is the ticket's only run.
	Run Verdict = iota
	// Repeat means that the stored answer must be given again.
	Repeat
	// Wait means that the ticket's only run has not ended yet.
	Wait
	// Forgotten means that the ticket may have been used and its outcome is no longer known.
	Forgotten
)

type entry struct {
	answer  Answer
	done    bool
	waiters []func(Answer)
}

// A BookConfig holds the limits of a Book.
type BookConfig struct {
	Capacity int
	Lifetime time.Duration // of a ticket from its issue
}

// A Book remembers the outcome of every ticket of one process within bounded memory.
type Book struct {
	config  BookConfig
	entries map[uint64]*entry
	floor   uint64 // tickets below it are forgotten unless they have an entry
	issued  []time.Time
	next    uint64 // sequence of the next ticket
	oldest  uint64 // sequence of issued[0]
}

// NewBook returns an empty book whose first ticket has sequence one.
func NewBook(config BookConfig) *Book {
	return &Book{config: config, entries: map[uint64]*entry{}, floor: 1, next: 1, oldest: 1}
}

// Issue returns the sequence of a new ticket.
func (b *Book) Issue(now time.Time) uint64 {
	b.expire(now)
	if len(b.issued) >= b.config.Capacity {
		b.forgetOldest()
	}
	b.issued = append(b.issued, now)
	b.next++
	return b.next - 1
}

// Begin decides about a request; on Wait it calls done once with the answer of the run in progress.
func (b *Book) Begin(now time.Time, sequence uint64, done func(Answer)) (Verdict, Answer) {
	b.expire(now)
	known := b.entries[sequence]
	switch {
	case known != nil && known.done:
		return Repeat, known.answer
	case known != nil:
		known.waiters = append(known.waiters, done)
		return Wait, Answer{}
	case sequence < b.floor || sequence >= b.next:
		return Forgotten, Answer{}
	}
	b.entries[sequence] = &entry{}
	return Run, Answer{}
}

// Finish stores the one answer of a ticket and passes it to those who wait for it.
func (b *Book) Finish(sequence uint64, answer Answer) {
	known := b.entries[sequence]
	if known == nil || known.done {
		return
	}
	waiters := known.waiters
	known.answer = answer
	known.done = true
	known.waiters = nil
	if sequence < b.floor {
		delete(b.entries, sequence)
	}
	for _, waiter := range waiters {
		waiter(answer)
	}
}

// Len returns the number of tickets with a remembered outcome or a run in progress.
func (b *Book) Len() int { return len(b.entries) }

// expire forgets tickets whose lifetime has passed.
func (b *Book) expire(now time.Time) {
	for len(b.issued) > 0 && now.Sub(b.issued[0]) > b.config.Lifetime {
		b.forgetOldest()
	}
}

// forgetOldest raises the floor, so that a forgotten ticket can never run again.
func (b *Book) forgetOldest() {
	known := b.entries[b.oldest]
	if known == nil || known.done {
		delete(b.entries, b.oldest)
	}
	b.issued = b.issued[1:]
	b.oldest++
	b.floor = b.oldest
}
