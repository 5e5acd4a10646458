package clock

import (
	"sync"
	"time"
)

// A Ticker sends the time to its subscribers at their intervals, all from one goroutine.
type Ticker struct {
	mu          sync.Mutex
	resolution  time.Duration
	stop        chan struct{}
	subscribers []*subscriber
}

type subscriber struct {
	interval time.Duration
	next     time.Time // when the next tick is due
	ticks    chan time.Time
}

// NewTicker returns a service that checks its subscribers once per resolution.
func NewTicker(resolution time.Duration) *Ticker {
	return &Ticker{resolution: resolution, stop: make(chan struct{})}
}

// Subscribe returns a channel that receives the time about once per interval; ticks are dropped while the last one is
// unread.
func (s *Ticker) Subscribe(interval time.Duration) <-chan time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &subscriber{
		interval: interval,
		next:     time.Now().Add(interval),
		ticks:    make(chan time.Time, 1),
	}
	s.subscribers = append(s.subscribers, sub)
	return sub.ticks
}

// Start runs the service in the background until Stop.
func (s *Ticker) Start() { go s.run() }

// Stop ends the service; it must be called once.
func (s *Ticker) Stop() { close(s.stop) }

func (s *Ticker) run() {
	ticker := time.NewTicker(s.resolution)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.notifyDue(now)
		case <-s.stop:
			return
		}
	}
}

func (s *Ticker) notifyDue(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range s.subscribers {
		if now.Before(sub.next) {
			continue
		}
		sub.next = now.Add(sub.interval)
		select {
		case sub.ticks <- now:
		default:
		}
	}
}
