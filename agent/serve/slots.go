package serve

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/admit"
	"github.com/cyclamendock/cyclamendock/lib/config"
)

// Slots lets requests wait for the backend server's slots.
type Slots struct {
	gate    *admit.Gate
	mu      sync.Mutex
	next    uint64
	service config.Service
	speed   *admit.Speed
	waiting map[uint64]chan admit.Reason
}

// NewSlots returns slots without any kind of work.
func NewSlots(now time.Time) *Slots {
	return &Slots{
		gate:    admit.NewGate(now, admit.Config{}),
		speed:   admit.NewSpeed(now),
		waiting: map[uint64]chan admit.Reason{},
	}
}

// Configure applies the limits of the service.
func (s *Slots) Configure(now time.Time, service config.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service = service
	gate := admit.Config{Slots: service.Slots}
	for _, kind := range service.Kinds {
		gate.Kinds = append(gate.Kinds, admit.Kind{
			Name:       kind.Name,
			QueueLimit: kind.QueueLimit,
			Share:      kind.Share,
			Typical:    kind.Typical,
			Urgency:    kind.Urgency,
		})
	}
	s.publish(s.gate.Reconfigure(now, gate))
	s.publish(s.gate.SetLimit(now, s.speed.Limit(service.Slots)))
}

// Acquire waits for a slot and returns its ID, or the reason for which there is none.
func (s *Slots) Acquire(ctx context.Context, kind int, deadline time.Time) (uint64, admit.Reason) {
	id, decided := s.arrive(kind, deadline)
	select {
	case reason := <-decided:
		return id, reason
	case <-ctx.Done():
		s.cancel(id)
		reason := <-decided
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
	s.publish(s.gate.Finish(time.Now(), id))
}

// Sample records how long the backend server took for a kind, or that it shed the request.
func (s *Slots) Sample(kind int, took time.Duration, shed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	typical := s.service.Kinds[kind].Typical
	if shed {
		s.speed.Shed(now, typical)
	} else {
		s.speed.Sample(now, took, typical)
	}
	s.publish(s.gate.SetLimit(now, s.speed.Limit(s.service.Slots)))
}

// Try records that a new flow came, so that a backend server that recovers is tried with one flow at a time.
func (s *Slots) Try(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed.Try(now)
}

// Tick refuses requests that have waited too long.
func (s *Slots) Tick(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed.Tick(now)
	s.publish(s.gate.SetLimit(now, s.speed.Limit(s.service.Slots)))
	s.publish(s.gate.Tick(now))
	return s.gate.Check()
}

// Usage returns what the agent's load is worked out from, given its open flows.
func (s *Slots) Usage(flows int) admit.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return admit.Usage{
		Connections: s.service.Connections,
		Flows:       flows,
		Slots:       s.service.Slots,
		Speed:       s.speed.Value(),
		Waiting:     s.gate.Waiting(),
	}
}

func (s *Slots) arrive(kind int, deadline time.Time) (uint64, chan admit.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	decided := make(chan admit.Reason, 1)
	s.waiting[s.next] = decided
	s.publish(s.gate.Arrive(time.Now(), admit.Request{Deadline: deadline, ID: s.next, Kind: kind}))
	return s.next, decided
}

func (s *Slots) cancel(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(s.gate.Cancel(id))
}

// publish tells the waiting requests what was decided.
func (s *Slots) publish(decisions []admit.Decision) {
	for _, decision := range decisions {
		decided := s.waiting[decision.ID]
		delete(s.waiting, decision.ID)
		decided <- decision.Reason
	}
}
