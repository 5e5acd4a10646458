package serve

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/admit"
	"github.com/cyclamendock/cyclamendock/lib/config"
)

// Slots makes requests wait for a free slot of the backend server, which limits how many it runs at once.
type Slots struct {
	controller *admit.Controller
	lastID     uint64     // of the latest request
	mu         sync.Mutex // guards all other fields
	service    config.Service
	speed      *admit.SpeedEstimator
	waiting    map[uint64]chan admit.Reason // requests without a decision, by ID
}

// NewSlots returns slots that can't be used before the first Configure.
func NewSlots(now time.Time) *Slots {
	return &Slots{
		controller: admit.NewController(now, admit.Config{}),
		speed:      admit.NewSpeedEstimator(now),
		waiting:    map[uint64]chan admit.Reason{},
	}
}

// Configure applies the limits of the service.
func (s *Slots) Configure(now time.Time, service config.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service = service
	limits := admit.Config{Slots: service.Slots}
	for _, kind := range service.Kinds {
		limits.Kinds = append(limits.Kinds, admit.Kind{
			Name:            kind.Name,
			QueueLimit:      kind.QueueLimit,
			Share:           kind.Share,
			TypicalDuration: kind.TypicalDuration,
			Urgency:         kind.Urgency,
		})
	}
	s.deliver(s.controller.Reconfigure(now, limits))
	s.deliver(s.controller.SetLimit(now, s.speed.Limit(service.Slots)))
}

// Acquire waits for a slot and returns its ID, or the reason why the request was refused.
func (s *Slots) Acquire(ctx context.Context, kind int, deadline time.Time) (uint64, admit.Reason) {
	id, decision := s.enqueue(kind, deadline)
	select {
	case reason := <-decision:
		return id, reason
	case <-ctx.Done():
		s.cancel(id)
		reason := <-decision
		if reason == "" {
			s.Release(id)
			return id, admit.ReasonCancelled
		}
		return id, reason
	}
}

// Release frees a slot.
func (s *Slots) Release(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.controller.Finish(time.Now(), id))
}

// RecordResult records how long the backend server took for a request of a kind, or that it rejected the request.
func (s *Slots) RecordResult(kind int, took time.Duration, shed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind >= len(s.service.Kinds) {
		return // the kind was removed meanwhile
	}
	now := time.Now()
	typical := s.service.Kinds[kind].TypicalDuration
	if shed {
		s.speed.RecordShed(now, typical)
	} else {
		s.speed.RecordDuration(now, took, typical)
	}
	s.deliver(s.controller.SetLimit(now, s.speed.Limit(s.service.Slots)))
}

// RecordNewFlow records a new flow, so that a backend server that recovers gets one flow at a time until its speed is
// known again.
func (s *Slots) RecordNewFlow(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed.RecordNewFlow(now)
}

// Tick updates the limit, refuses requests that have waited too long, and returns the invariant that is violated, or an
// empty string.
func (s *Slots) Tick(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed.Tick(now)
	s.deliver(s.controller.SetLimit(now, s.speed.Limit(s.service.Slots)))
	s.deliver(s.controller.Tick(now))
	return s.controller.CheckInvariants()
}

// Usage returns the values from which the agent's load is computed, given the number of its open flows.
func (s *Slots) Usage(flows int) admit.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return admit.Usage{
		Flows:          flows,
		MaxConnections: s.service.MaxConnections,
		Slots:          s.service.Slots,
		Speed:          s.speed.Value(),
		Waiting:        s.controller.Waiting(),
	}
}

func (s *Slots) enqueue(kind int, deadline time.Time) (uint64, chan admit.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	decision := make(chan admit.Reason, 1)
	s.waiting[s.lastID] = decision
	s.deliver(s.controller.Submit(time.Now(), admit.Request{Deadline: deadline, ID: s.lastID, Kind: kind}))
	return s.lastID, decision
}

func (s *Slots) cancel(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.controller.Cancel(id))
}

// deliver passes decisions to the waiting requests.
func (s *Slots) deliver(decisions []admit.Decision) {
	for _, decision := range decisions {
		decided := s.waiting[decision.ID]
		delete(s.waiting, decision.ID)
		decided <- decision.Reason
	}
}
