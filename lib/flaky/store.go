package flaky

import (
	"context"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

// A Fate is what happens to one call.
type Fate int

const (
	// Answered calls go well.
	Answered Fate = iota
	// Down calls have no effect and bring no answer.
	Down
	// Lost calls take effect but bring no answer.
	Lost
	// Outdated reads answer with the version before the latest one.
	Outdated
)

// A Store is a store whose calls meet the fates that its chooser names.
type Store struct {
	before map[string]store.Object // the version before the latest one
	choose func(call string) Fate
	inner  store.Store
}

// New returns a flaky store around another one.
func New(inner store.Store, choose func(call string) Fate) *Store {
	return &Store{before: map[string]store.Object{}, choose: choose, inner: inner}
}

// Delete removes an object, or returns an Unavailable fault, perhaps after it has removed it.
func (s *Store) Delete(ctx context.Context, key string) error {
	fate := s.choose("delete")
	if fate == Down {
		return unavailable()
	}
	err := s.inner.Delete(ctx, key)
	if fate == Lost {
		return unavailable()
	}
	return err
}

// Get returns an object, the version before it, or an Unavailable fault.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	fate := s.choose("get")
	switch fate {
	case Down, Lost:
		return store.Object{}, unavailable()
	case Outdated:
		if old, ok := s.before[key]; ok {
			return old, nil
		}
	}
	return s.inner.Get(ctx, key)
}

// List returns objects, or an Unavailable fault.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Object, error) {
	if fate := s.choose("list"); fate == Down || fate == Lost {
		return nil, unavailable()
	}
	return s.inner.List(ctx, prefix)
}

// Put writes an object, whose answer may be lost.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected uint64) (store.Object, error) {
	fate := s.choose("put")
	if fate == Down {
		return store.Object{}, unavailable()
	}
	old, oldErr := s.inner.Get(ctx, key)
	object, err := s.inner.Put(ctx, key, value, expected)
	if err == nil && oldErr == nil {
		s.before[key] = old
	}
	if fate == Lost {
		return store.Object{}, unavailable()
	}
	return object, err
}

// Watch waits for a newer version, or returns an Unavailable fault.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (store.Object, error) {
	if fate := s.choose("watch"); fate == Down || fate == Lost {
		return store.Object{}, unavailable()
	}
	return s.inner.Watch(ctx, key, after)
}

func unavailable() error {
	return fault.New(fault.Unavailable, "the platform does not answer", "try again when it is back")
}

var _ store.Store = (*Store)(nil)
