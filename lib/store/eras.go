package store

import (
	"sync"
	"time"
)

// Eras tracks the latest era of a store, which the store itself or another process may state. An era of zero is that of a
// store that states none.
type Eras struct {
	latest uint64
	mu     sync.Mutex
	since  time.Time // when latest was first recorded; zero before the first record
}

// Age returns for how long the latest era has been known.
func (e *Eras) Age(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.since.IsZero() {
		return 0
	}
	return now.Sub(e.since)
}

// Latest returns the latest era; zero while none is known.
func (e *Eras) Latest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest
}

// Record records an era, and reports whether the store has lost changes since the era that was the latest before.
func (e *Eras) Record(now time.Time, era uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.since.IsZero() && era <= e.latest {
		return false
	}
	lost := e.latest != 0
	e.latest = era
	e.since = now
	return lost
}
