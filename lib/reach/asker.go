package reach

import (
	"slices"
	"time"
)

const (
	// rounds is how often the other observers are asked about a subject, since datagrams get lost.
	rounds = 5
	// roundInterval is the interval between two rounds, and how long answers to the last one are awaited.
	roundInterval = 75 * time.Millisecond
	// answerLifetime is how long an answer holds before the others are asked again.
	answerLifetime = time.Second
	// unheardLifetime is how long the lack of any answer holds. An observer may begin to hear the subject at any time, so it serves only the
	// decisions that wait for it.
	unheardLifetime = 100 * time.Millisecond
	// needLifetime is how long after its last use a subject is kept.
	needLifetime = 10 * time.Second
	// maxStep is the longest time that counts between two ticks. The answers to a process that was not scheduled for longer wait in its
	// socket.
	maxStep = 50 * time.Millisecond
)

// Verdict tells what is known of a subject.
type Verdict int

const (
	// Pending means that the other observers are being asked.
	Pending Verdict = iota
	// Heard means that another observer hears the subject.
	Heard
	// Unheard means that all other observers were asked lately and none has answered that it hears the subject.
	Unheard
)

// inquiry is what is known of one subject; its times are in attended time.
type inquiry[E comparable] struct {
	asked     int           // rounds sent
	heard     bool          // an observer has answered
	heardBy   E             // observer that answered last
	known     bool          // heardBy is set and was not disproved since
	neededAt  time.Duration // time of the last use
	sentAt    time.Duration // time of the last round
	settled   bool          // an observer has answered, or the answers to the last round have been awaited
	settledAt time.Duration // valid while settled is set
}

// Asker asks other observers about subjects that its own process doesn't hear. It counts only the time in which the process attends to
// its messages, so that a stall is not taken for the silence of others.
type Asker[E comparable] struct {
	attended time.Duration
	compare  func(a, b E) int
	lastTick time.Time
	subjects map[E]*inquiry[E]
}

// NewAsker returns an asker without subjects; compare orders them.
func NewAsker[E comparable](compare func(a, b E) int) *Asker[E] {
	return &Asker[E]{compare: compare, subjects: map[E]*inquiry[E]{}}
}

// Ask returns what is known of a subject, and has the others asked about it unless that is recent.
func (a *Asker[E]) Ask(subject E) Verdict {
	q := a.subjects[subject]
	if q == nil {
		q = &inquiry[E]{}
		a.subjects[subject] = q
	}
	q.neededAt = a.attended
	if q.settled && a.attended-q.settledAt > q.lifetime() {
		q.asked, q.heard, q.settled = 0, false, false
	}
	switch {
	case !q.settled:
		return Pending
	case q.heard:
		return Heard
	default:
		return Unheard
	}
}

// HeardBy returns the observer that last answered that it hears a subject, unless all were silent when asked again.
func (a *Asker[E]) HeardBy(subject E) (E, bool) {
	q := a.subjects[subject]
	if q == nil || !q.known {
		var none E
		return none, false
	}
	return q.heardBy, true
}

// AnyHeard reports whether HeardBy returns an observer for any subject.
func (a *Asker[E]) AnyHeard() bool {
	for _, q := range a.subjects {
		if q.known {
			return true
		}
	}
	return false
}

// RecordHeard records that an observer has answered that it hears a subject.
func (a *Asker[E]) RecordHeard(subject, observer E) {
	q := a.subjects[subject]
	if q == nil {
		return // it was not asked about
	}
	q.heard, q.heardBy, q.known = true, observer, true
	q.settle(a.attended)
}

// Forget ends the inquiry about a subject that the process hears itself again.
func (a *Asker[E]) Forget(subject E) { delete(a.subjects, subject) }

// Tick advances the time and returns the subjects about which the others have to be asked now, in order. It must be called regularly.
func (a *Asker[E]) Tick(now time.Time) []E {
	if !a.lastTick.IsZero() {
		a.attended += min(max(0, now.Sub(a.lastTick)), maxStep)
	}
	a.lastTick = now
	var due []E
	for subject, q := range a.subjects {
		if a.attended-q.neededAt > needLifetime {
			delete(a.subjects, subject)
			continue
		}
		if q.startRound(a.attended) {
			due = append(due, subject)
		}
	}
	slices.SortFunc(due, a.compare)
	return due
}

// startRound reports whether a round is due, or settles the inquiry when nobody has answered the last one.
func (q *inquiry[E]) startRound(now time.Duration) bool {
	switch {
	case q.settled, q.asked > 0 && now-q.sentAt < roundInterval:
		return false
	case q.asked == rounds:
		q.known = false
		q.settle(now)
		return false
	}
	q.asked++
	q.sentAt = now
	return true
}

// lifetime returns how long the result of the inquiry holds.
func (q *inquiry[E]) lifetime() time.Duration {
	if q.heard {
		return answerLifetime
	}
	return unheardLifetime
}

func (q *inquiry[E]) settle(now time.Duration) {
	q.settled = true
	q.settledAt = now
}
