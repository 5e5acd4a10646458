package store

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// Memory is a Store that keeps its objects in memory.
type Memory struct {
	changed chan struct{} // closed and replaced by each write
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

// List returns the objects whose keys have the given prefix, ordered by key.
func (m *Memory) List(_ context.Context, prefix string) ([]Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var objects []Object
	for key, object := range m.objects {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return objects, nil
}

// Put writes an object if its version is the expected one, or returns a Stale fault.
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

// Watch waits until the object's version is greater than the given one, or returns a Missing fault when ctx ends.
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
