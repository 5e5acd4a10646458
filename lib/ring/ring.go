package ring

import "sync"

// Ring is a ring buffer for several producers and consumers; when it is full, new items are dropped.
type Ring[T any] struct {
	buffer   []T
	closed   bool
	count    int    // number of queued items
	dropped  uint64 // number of items dropped by Push
	head     int    // index of the oldest item
	mu       sync.Mutex
	notEmpty *sync.Cond // signalled when an item is pushed or the ring is closed
}

// New returns an empty ring for up to capacity items.
func New[T any](capacity int) *Ring[T] {
	r := &Ring[T]{buffer: make([]T, capacity)}
	r.notEmpty = sync.NewCond(&r.mu)
	return r
}

// Push appends an item without blocking, or drops it and reports false when the ring is full or closed.
func (r *Ring[T]) Push(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.count == len(r.buffer) {
		r.dropped++
		return false
	}
	r.buffer[(r.head+r.count)%len(r.buffer)] = item
	r.count++
	r.notEmpty.Signal()
	return true
}

// Pop blocks until an item is available and reports false once the ring is closed and empty.
func (r *Ring[T]) Pop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.count == 0 && !r.closed {
		r.notEmpty.Wait()
	}
	return r.popLocked()
}

// TryPop returns an item without blocking and reports false when the ring is empty.
func (r *Ring[T]) TryPop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.popLocked()
}

// Close makes Push drop further items and wakes the blocked consumers.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.notEmpty.Broadcast()
}

// Dropped returns the number of items that Push has dropped.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// popLocked removes the oldest item; the caller holds mu.
func (r *Ring[T]) popLocked() (T, bool) {
	var zero T
	if r.count == 0 {
		return zero, false
	}
	item := r.buffer[r.head]
	r.buffer[r.head] = zero
	r.head = (r.head + 1) % len(r.buffer)
	r.count--
	return item, true
}
