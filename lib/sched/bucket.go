package sched

import "time"

// A Bucket limits events to a rate per second with a burst of one second's worth.
type Bucket struct {
	filled time.Time
	rate   float64
	tokens float64
}

// NewBucket returns a full bucket for a rate in events per second.
func NewBucket(now time.Time, rate float64) *Bucket {
	return &Bucket{filled: now, rate: rate, tokens: rate}
}

// SetRate changes the rate in events per second.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	b.fill(now)
	b.rate = rate
	b.tokens = min(b.tokens, rate)
}

// Take reports whether one more event is within the rate.
func (b *Bucket) Take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Bucket) fill(now time.Time) {
	passed := now.Sub(b.filled).Seconds()
	if passed <= 0 {
		return
	}
	b.filled = now
	b.tokens = min(b.tokens+passed*b.rate, b.rate)
}
