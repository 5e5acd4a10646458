package ring

import "sync"

// A Ring is a bounded first-in first-out queue that never blocks its producers.
type Ring[T any] struct {
	buffer  []T
	closed  bool
	dropped uint64
	head    int
	length  int
	mu      sync.Mutex
	ready   *sync.Cond
}

// New returns a ring that holds up to capacity items.
func New[T any](capacity int) *Ring[T] {
	r := &Ring[T]{buffer: make([]T, capacity)}
	r.ready = sync.NewCond(&r.mu)
	return r
}

// Push appends an item and reports false when the ring is full or closed.
func (r *Ring[T]) Push(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.length == len(r.buffer) {
		r.dropped++
		return false
	}
	r.buffer[(r.head+r.length)%len(r.buffer)] = item
	r.length++
	r.ready.Signal()
	return true
}

// Pop waits for an item and reports false once the ring is closed and empty.
func (r *Ring[T]) Pop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.length == 0 && !r.closed {
		r.ready.Wait()
	}
	return r.take()
}

// TryPop returns an item without waiting and reports false when the ring is empty.
func (r *Ring[T]) TryPop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.take()
}

// Close wakes the consumers and refuses further items.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.ready.Broadcast()
}

// Dropped returns the number of items that were refused.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Len returns the number of items that wait.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.length
}

func (r *Ring[T]) take() (T, bool) {
	var zero T
	if r.length == 0 {
		return zero, false
	}
	item := r.buffer[r.head]
	r.buffer[r.head] = zero
	r.head = (r.head + 1) % len(r.buffer)
	r.length--
	return item, true
}
