package sched

import "time"

// TokenBucket is a token bucket that limits events to a rate per second and a burst of the events of one second.
type TokenBucket struct {
	lastRefill time.Time
	rate       float64 // tokens per second, also the capacity
	tokens     float64 // number of events allowed now
}

// NewTokenBucket returns a full bucket for a rate in events per second.
func NewTokenBucket(now time.Time, rate float64) *TokenBucket {
	return &TokenBucket{lastRefill: now, rate: rate, tokens: rate}
}

// SetRate changes the rate, in events per second, and the burst.
func (b *TokenBucket) SetRate(now time.Time, rate float64) {
	b.refill(now)
	b.rate = rate
	b.tokens = min(b.tokens, rate)
}

// Allow reports whether one more event is within the rate and consumes its token.
func (b *TokenBucket) Allow(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *TokenBucket) refill(now time.Time) {
	elapsed := now.Sub(b.lastRefill).Seconds()
	if elapsed <= 0 {
		return
	}
	b.lastRefill = now
	b.tokens = min(b.tokens+elapsed*b.rate, b.rate)
}
