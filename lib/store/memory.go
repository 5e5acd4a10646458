package store

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Memory is a Store that keeps its objects in memory.
type Memory struct {
	changed  chan struct{} // closed and replaced by each write
	era      uint64
	mu       sync.Mutex
	objects  map[string]Object
	revision uint64 // of the last change
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{changed: make(chan struct{}), era: 1, objects: map[string]Object{}}
}

// Delete removes an object if its version is the expected one, or returns a Stale fault.
func (m *Memory) Delete(_ context.Context, key string, expected Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, ok := m.objects[key]
	if !ok {
		return nil
	}
	if object.Version != expected {
		return stale(key)
	}
	delete(m.objects, key)
	m.revision++
	return nil
}

// Era returns the current era.
func (m *Memory) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// Backup returns a copy of all objects, for Restore.
func (m *Memory) Backup() map[string]Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.objects)
}

// Restore replaces all objects by those of a backup and begins the next era, as after a loss of all later changes, whose
// revisions are given out again.
func (m *Memory) Restore(backup map[string]Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.objects = make(map[string]Object, len(backup))
	m.revision = 0
	for key, object := range backup {
		m.revision = max(m.revision, object.Version.Revision)
		object.Version.Era = m.era
		m.objects[key] = object
	}
	m.notify()
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
	return m.list(prefix), nil
}

// list returns the objects whose keys have the given prefix, ordered by key; mu must be held.
func (m *Memory) list(prefix string) []Object {
	var objects []Object
	for key, object := range m.objects {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return objects
}

// ListAt returns the same objects as List and the store's version.
func (m *Memory) ListAt(_ context.Context, prefix string) ([]Object, Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list(prefix), Version{Era: m.era, Revision: m.revision}, nil
}

// Put writes an object if its version is the expected one, or returns a Stale fault.
func (m *Memory) Put(_ context.Context, key string, value []byte, expected Version) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != expected {
		return Object{}, stale(key)
	}
	m.revision++
	object := Object{Key: key, Value: slices.Clone(value), Version: Version{Era: m.era, Revision: m.revision}}
	m.objects[key] = object
	m.notify()
	return object, nil
}

// Watch waits until the object's version differs from the given one, or returns a Missing fault when ctx ends.
func (m *Memory) Watch(ctx context.Context, key string, known Version) (Object, error) {
	for {
		m.mu.Lock()
		object, exists := m.objects[key]
		changed := m.changed
		m.mu.Unlock()
		if exists && object.Version != known {
			return object, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Object{}, missing(key)
		}
	}
}

// notify wakes all watches; mu must be held.
func (m *Memory) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

var _ Store = (*Memory)(nil)
