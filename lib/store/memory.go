package store

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// A Memory is a Store within one process.
type Memory struct {
	changed chan struct{}
	mu      sync.Mutex
	objects map[string]Object
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{changed: make(chan struct{}), objects: map[string]Object{}}
}

// Delete removes an object.
func (m *Memory) Delete(_ context.Context, key string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.objects, key)
	return nil
}

// Get returns an object, or a Missing fault.
func (m *Memory) Get(_ context.Context, key string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, ok := m.objects[key]
	if !ok {
		return Object{}, missing(key)
	}
	return object, nil
}

// List returns the objects whose keys have a prefix, ordered by key.
func (m *Memory) List(_ context.Context, prefix string) ([]Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []Object
	for key, object := range m.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

// Put writes an object, or returns a Stale fault when its version is not the expected one.
func (m *Memory) Put(_ context.Context, key string, value []byte, expected uint64) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != expected {
		return Object{}, stale(key)
	}
	object := Object{Key: key, Value: slices.Clone(value), Version: expected + 1}
	m.objects[key] = object
	close(m.changed)
	m.changed = make(chan struct{})
	return object, nil
}

// Watch waits for a newer version until the context ends, which gives a Missing fault.
func (m *Memory) Watch(ctx context.Context, key string, after uint64) (Object, error) {
	for {
		m.mu.Lock()
		object, changed := m.objects[key], m.changed
		m.mu.Unlock()
		if object.Version > after {
			return object, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Object{}, missing(key)
		}
	}
}

var _ Store = (*Memory)(nil)
