package logs

import (
	"sync"
	"time"
)

// A Limiter bounds how many lines of one kind are written each second and counts the others.
type Limiter struct {
	left       int
	mu         sync.Mutex
	perSecond  int
	suppressed int
	until      time.Time
}

// NewLimiter returns a limiter that lets a number of lines pass each second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written, and how many were not since the last one that was.
func (l *Limiter) Allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.until) {
		l.left = l.perSecond
		l.until = now.Add(time.Second)
	}
	if l.left == 0 {
		l.suppressed++
		return 0, false
	}
	l.left--
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
