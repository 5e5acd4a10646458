package port

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// RetryFirst is the first pause before a call that failed is repeated.
	RetryFirst = 100 * time.Millisecond
	// RetryLast is the longest pause, so that what waits for a dependency is back soon after it.
	RetryLast = 1500 * time.Millisecond
)

// Sleep waits for a time or until the context ends.
func Sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Jitter spreads a pause over half to one and a half of it, so that processes don't call in step.
func Jitter(pause time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(pause))
}

// Retry repeats a call with growing pauses until it succeeds or the context ends; failed is told of each error.
func Retry(ctx context.Context, call func() error, failed func(error)) {
	pause := RetryFirst
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			failed(err)
		}
		Sleep(ctx, Jitter(pause))
		pause = min(2*pause, RetryLast)
	}
}
