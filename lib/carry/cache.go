package carry

import "time"

// A Cache is a bounded map whose entries expire when they have not been used for a while.
type Cache[K comparable, V any] struct {
	capacity int
	entries  map[K]*cached[V]
	lifetime time.Duration
}

type cached[V any] struct {
	expires time.Time
	value   V
}

// NewCache returns an empty cache.
func NewCache[K comparable, V any](capacity int, lifetime time.Duration) *Cache[K, V] {
	return &Cache[K, V]{capacity: capacity, entries: map[K]*cached[V]{}, lifetime: lifetime}
}

// Get returns a value and extends its life.
func (c *Cache[K, V]) Get(now time.Time, key K) (V, bool) {
	entry := c.entries[key]
	if entry == nil || now.After(entry.expires) {
		var zero V
		return zero, false
	}
	entry.expires = now.Add(c.lifetime)
	return entry.value, true
}

// Peek returns a value and leaves its life as it is.
func (c *Cache[K, V]) Peek(now time.Time, key K) (V, bool) {
	if !c.Has(now, key) {
		var zero V
		return zero, false
	}
	return c.entries[key].value, true
}

// Has reports whether there is a value and leaves its life as it is.
func (c *Cache[K, V]) Has(now time.Time, key K) bool {
	entry := c.entries[key]
	return entry != nil && !now.After(entry.expires)
}

// Put stores a value and reports false when the cache is full.
func (c *Cache[K, V]) Put(now time.Time, key K, value V) bool {
	entry := c.entries[key]
	if entry == nil {
		if len(c.entries) >= c.capacity {
			return false
		}
		entry = &cached[V]{}
		c.entries[key] = entry
	}
	entry.expires = now.Add(c.lifetime)
	entry.value = value
	return true
}

// Delete forgets a key.
func (c *Cache[K, V]) Delete(key K) { delete(c.entries, key) }

// Len returns the number of entries, expired ones included until the next Sweep.
func (c *Cache[K, V]) Len() int { return len(c.entries) }

// SetLifetime changes how long entries live from their next use on.
func (c *Cache[K, V]) SetLifetime(lifetime time.Duration) { c.lifetime = lifetime }

// Sweep forgets the expired entries.
func (c *Cache[K, V]) Sweep(now time.Time) {
	for key, entry := range c.entries {
		if now.After(entry.expires) {
			delete(c.entries, key)
		}
	}
}

// Each calls a function for every entry, which it must not change.
func (c *Cache[K, V]) Each(visit func(K, V)) {
	for key, entry := range c.entries {
		visit(key, entry.value)
	}
}
