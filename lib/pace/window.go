package pace

import (
	"slices"
	"time"
)

const (
	// windowLength is the window of the limit for cold backend servers. It is longer than the second that the limit is stated for,
	// since packets that leave an agent a second apart may arrive a little closer together.
	windowLength = time.Second + 50*time.Millisecond
	// maxWindowEvents bounds the memory of a window; at more events, the limits in use don't bind.
	maxWindowEvents = 1 << 14
)

// Window holds the times of the events of the last windowLength. It slides: no period has a fixed start.
type Window struct {
	times []time.Time // oldest first
}

// Record records an event.
func (w *Window) Record(now time.Time) {
	w.expire(now)
	if len(w.times) == maxWindowEvents {
		w.times = w.times[1:]
	}
	w.times = append(w.times, now)
}

// Count returns the number of events in the window that ends now.
func (w *Window) Count(now time.Time) int {
	w.expire(now)
	return len(w.times)
}

func (w *Window) expire(now time.Time) {
	start := now.Add(-windowLength)
	expired, _ := slices.BinarySearchFunc(w.times, start, func(at, start time.Time) int {
		if at.After(start) {
			return 1
		}
		return -1
	})
	w.times = w.times[expired:]
}
