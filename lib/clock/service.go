package clock

import (
	"sync"
	"time"
)

// A Service calls its subscribers at their intervals from one goroutine.
type Service struct {
	mu          sync.Mutex
	resolution  time.Duration
	stop        chan struct{}
	subscribers []*subscriber
}

type subscriber struct {
	due      time.Time
	interval time.Duration
	notify   chan time.Time
}

// NewService returns a service that checks its subscribers once per resolution.
func NewService(resolution time.Duration) *Service {
	return &Service{resolution: resolution, stop: make(chan struct{})}
}

// Subscribe returns a channel that receives the time about once per interval and drops ticks nobody reads.
func (s *Service) Subscribe(interval time.Duration) <-chan time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &subscriber{
		due:      time.Now().Add(interval),
		interval: interval,
		notify:   make(chan time.Time, 1),
	}
	s.subscribers = append(s.subscribers, sub)
	return sub.notify
}

// Start runs the service until Stop.
func (s *Service) Start() { go s.run() }

// Stop ends the service; it must be called once.
func (s *Service) Stop() { close(s.stop) }

func (s *Service) run() {
	ticker := time.NewTicker(s.resolution)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.notify(now)
		case <-s.stop:
			return
		}
	}
}

func (s *Service) notify(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range s.subscribers {
		if now.Before(sub.due) {
			continue
		}
		sub.due = now.Add(sub.interval)
		select {
		case sub.notify <- now:
		default:
		}
	}
}
