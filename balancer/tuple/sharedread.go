package tuple

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/netio"
)

// sharedRead combines reads of the store that are requested at about the same time. Each request gets the result of a
// read that began after the request.
type sharedRead[T any] struct {
	ctx   context.Context
	next  *readResult[T] // result of the read that has not begun yet; nil while nobody waits for one
	mu    sync.Mutex     // guards next
	pause time.Duration  // minimum pause between reads
	read  func(context.Context) (T, error)
	turn  chan struct{} // holds an element while no read is in progress
}

// readResult is the result of one read.
type readResult[T any] struct {
	done  chan struct{} // closed once value and err are set
	err   error
	value T
}

func newSharedRead[T any](ctx context.Context, pause time.Duration, read func(context.Context) (T, error)) *sharedRead[T] {
	s := &sharedRead[T]{ctx: ctx, pause: pause, read: read, turn: make(chan struct{}, 1)}
	s.turn <- struct{}{}
	return s
}

// get returns the result of a read that begins after the call, or the error of the given context.
func (s *sharedRead[T]) get(ctx context.Context) (T, error) {
	s.mu.Lock()
	result := s.next
	if result == nil {
		result = &readResult[T]{done: make(chan struct{})}
		s.next = result
		go s.run(result)
	}
	s.mu.Unlock()
	select {
	case <-result.done:
		return result.value, result.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// run waits for its turn, reads, and gives the turn to the next read after a pause.
func (s *sharedRead[T]) run(result *readResult[T]) {
	select {
	case <-s.turn:
	case <-s.ctx.Done():
		result.err = s.ctx.Err()
		close(result.done)
		return
	}
	s.mu.Lock()
	s.next = nil
	s.mu.Unlock()
	result.value, result.err = s.read(s.ctx)
	close(result.done)
	netio.Sleep(s.ctx, s.pause)
	s.turn <- struct{}{}
}
