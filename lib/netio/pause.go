package netio

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// MinRetryPause is the pause before the first retry of a failed call, before Jitter is applied.
	MinRetryPause = 100 * time.Millisecond
	// MaxRetryPause is the maximum pause between retries, before Jitter is applied; it is short so that a process recovers
	// soon after its dependency.
	MaxRetryPause = 1500 * time.Millisecond
)

// Sleep waits for the pause or until the context ends.
func Sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Jitter returns a random pause of 0.5 to 1.5 times the given one, so that processes don't retry at the same time.
func Jitter(pause time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(pause))
}

// Retry repeats a call with exponential backoff until it succeeds or the context ends; onError receives each error.
func Retry(ctx context.Context, call func() error, onError func(error)) {
	pause := MinRetryPause
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			onError(err)
		}
		Sleep(ctx, Jitter(pause))
		pause = min(2*pause, MaxRetryPause)
	}
}
