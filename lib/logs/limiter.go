package logs

import (
	"sync"
	"time"
)

// Limiter limits the log lines of one kind per second and counts the suppressed ones.
type Limiter struct {
	mu         sync.Mutex
	perSecond  int
	remaining  int // lines that may still be written before windowEnd
	suppressed int // lines since the last allowed one
	windowEnd  time.Time
}

// NewLimiter returns a limiter that allows perSecond lines each second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written, and how many were suppressed since the last one.
func (l *Limiter) Allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.windowEnd) {
		l.remaining = l.perSecond
		l.windowEnd = now.Add(time.Second)
	}
	if l.remaining == 0 {
		l.suppressed++
		return 0, false
	}
	l.remaining--
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
