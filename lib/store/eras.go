package store

import "sync/atomic"

// Eras tracks the latest era of a store, which the store itself or another process may state.
type Eras struct {
	latest atomic.Uint64
}

// Latest returns the latest era; zero while none is known.
func (e *Eras) Latest() uint64 { return e.latest.Load() }

// Record records an era, and reports whether the store has lost changes since the era that was the latest before.
func (e *Eras) Record(era uint64) bool {
	for {
		latest := e.latest.Load()
		if era <= latest {
			return false
		}
		if e.latest.CompareAndSwap(latest, era) {
			return latest != 0
		}
	}
}
