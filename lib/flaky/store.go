package flaky

import (
	"context"
	"slices"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

// Fault is a fault to inject into one call.
type Fault int

const (
	// NoFault leaves the call unchanged.
	NoFault Fault = iota
	// RequestLost makes the call fail as unavailable without any effect.
	RequestLost
	// ResponseLost lets the call take effect but makes it fail as unavailable.
	ResponseLost
	// StaleRead makes a read return the version before the latest one.
	StaleRead
	// ExecutedLate makes a write fail as unavailable and take effect only with ExecuteLate.
	ExecutedLate
)

// Store wraps a store and injects into each call the fault that chooseFault returns.
type Store struct {
	chooseFault func(call string) Fault
	inner       store.Store
	late        []func()                // writes that are executed late, oldest first
	previous    map[string]store.Object // version before the latest one, by key
}

// New returns a flaky store that wraps inner; chooseFault gets the lower-case name of the method that is called.
func New(inner store.Store, chooseFault func(call string) Fault) *Store {
	return &Store{chooseFault: chooseFault, inner: inner, previous: map[string]store.Object{}}
}

// Delete removes an object of the expected version, or returns an Unavailable fault; if the response is lost, the object is still
// removed.
func (s *Store) Delete(ctx context.Context, key string, expected store.Version) error {
	injected := s.chooseFault("delete")
	switch injected {
	case RequestLost:
		return unavailable()
	case ExecutedLate:
		s.late = append(s.late, func() { _ = s.inner.Delete(ctx, key, expected) }) // nobody waits for the result
		return unavailable()
	}
	err := s.inner.Delete(ctx, key, expected)
	if injected == ResponseLost {
		return unavailable()
	}
	return err
}

// Era returns the latest era of the wrapped store.
func (s *Store) Era() uint64 { return s.inner.Era() }

// ExecuteLate executes the i-th of the writes that are executed late, counted from the oldest, if their condition still holds.
func (s *Store) ExecuteLate(i int) {
	write := s.late[i]
	s.late = slices.Delete(s.late, i, i+1)
	write()
}

// LateCount returns the number of writes that are still to be executed late.
func (s *Store) LateCount() int { return len(s.late) }

// Get returns an object, its previous version in a stale read, or an Unavailable fault.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	injected := s.chooseFault("get")
	switch injected {
	case RequestLost, ResponseLost:
		return store.Object{}, unavailable()
	case StaleRead:
		if previous, ok := s.previous[key]; ok {
			return previous, nil
		}
	}
	return s.inner.Get(ctx, key)
}

// List returns the objects whose keys have the given prefix, or an Unavailable fault.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Object, error) {
	if injected := s.chooseFault("list"); injected == RequestLost || injected == ResponseLost {
		return nil, unavailable()
	}
	return s.inner.List(ctx, prefix)
}

// ListAt returns the same objects as List and the store's version, or an Unavailable fault.
func (s *Store) ListAt(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	if injected := s.chooseFault("list"); injected == RequestLost || injected == ResponseLost {
		return nil, store.Version{}, unavailable()
	}
	return s.inner.ListAt(ctx, prefix)
}

// Put writes an object, or returns an Unavailable fault; if the response is lost, the object is still written.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected store.Version) (store.Object, error) {
	injected := s.chooseFault("put")
	switch injected {
	case RequestLost:
		return store.Object{}, unavailable()
	case ExecutedLate:
		s.late = append(s.late, func() { _, _ = s.inner.Put(ctx, key, value, expected) }) // nobody waits for the result
		return store.Object{}, unavailable()
	}
	previous, previousErr := s.inner.Get(ctx, key)
	object, err := s.inner.Put(ctx, key, value, expected)
	if err == nil && previousErr == nil {
		s.previous[key] = previous
	}
	if injected == ResponseLost {
		return store.Object{}, unavailable()
	}
	return object, err
}

// Watch waits until the object's version differs from the given one, or returns an Unavailable fault.
func (s *Store) Watch(ctx context.Context, key string, known store.Version) (store.Object, error) {
	if injected := s.chooseFault("watch"); injected == RequestLost || injected == ResponseLost {
		return store.Object{}, unavailable()
	}
	return s.inner.Watch(ctx, key, known)
}

func unavailable() error {
	return fault.New(fault.Unavailable, "the platform does not answer", "try again when it is back")
}

var _ store.Store = (*Store)(nil)
