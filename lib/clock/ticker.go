package clock

import (
	"sync"
	"time"
)

// Ticker sends the time to its subscribers at their intervals, all from one goroutine.
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

// NewTicker returns a ticker that checks its subscribers once per resolution.
func NewTicker(resolution time.Duration) *Ticker {
	return &Ticker{resolution: resolution, stop: make(chan struct{})}
}

// Subscribe returns a channel that receives the time about once per interval; ticks are dropped while the last one is
// unread.
func (t *Ticker) Subscribe(interval time.Duration) <-chan time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	sub := &subscriber{
		interval: interval,
		next:     time.Now().Add(interval),
		ticks:    make(chan time.Time, 1),
	}
	t.subscribers = append(t.subscribers, sub)
	return sub.ticks
}

// Start runs the ticker in the background until Stop.
func (t *Ticker) Start() { go t.run() }

// Stop ends the ticker; it must be called once.
func (t *Ticker) Stop() { close(t.stop) }

func (t *Ticker) run() {
	ticker := time.NewTicker(t.resolution)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			t.notifyDue(now)
		case <-t.stop:
			return
		}
	}
}

func (t *Ticker) notifyDue(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, sub := range t.subscribers {
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
