package flows

import "time"

// Cache is a bounded map whose entries expire when they have not been used for a given lifetime.
type Cache[K comparable, V any] struct {
	capacity int
	entries  map[K]*cacheEntry[V]
	lifetime time.Duration
}

type cacheEntry[V any] struct {
	expires time.Time
	value   V
}

// NewCache returns an empty cache.
func NewCache[K comparable, V any](capacity int, lifetime time.Duration) *Cache[K, V] {
	return &Cache[K, V]{capacity: capacity, entries: map[K]*cacheEntry[V]{}, lifetime: lifetime}
}

// Get returns an unexpired value and renews its lifetime.
func (c *Cache[K, V]) Get(now time.Time, key K) (V, bool) {
	entry := c.entries[key]
	if entry == nil || now.After(entry.expires) {
		var zero V
		return zero, false
	}
	entry.expires = now.Add(c.lifetime)
	return entry.value, true
}

// Peek returns an unexpired value without renewing its lifetime.
func (c *Cache[K, V]) Peek(now time.Time, key K) (V, bool) {
	if !c.Has(now, key) {
		var zero V
		return zero, false
	}
	return c.entries[key].value, true
}

// Has reports whether there is an unexpired value, without renewing its lifetime.
func (c *Cache[K, V]) Has(now time.Time, key K) bool {
	entry := c.entries[key]
	return entry != nil && !now.After(entry.expires)
}

// Put stores a value and reports false when the key is new and the cache is full.
func (c *Cache[K, V]) Put(now time.Time, key K, value V) bool {
	entry := c.entries[key]
	if entry == nil {
		if len(c.entries) >= c.capacity {
			return false
		}
		entry = &cacheEntry[V]{}
		c.entries[key] = entry
	}
	entry.expires = now.Add(c.lifetime)
	entry.value = value
	return true
}

// Delete removes a key.
func (c *Cache[K, V]) Delete(key K) { delete(c.entries, key) }

// Len returns the number of entries, including expired ones that Sweep has not removed yet.
func (c *Cache[K, V]) Len() int { return len(c.entries) }

// SetLifetime changes the lifetime of entries, effective from their next use.
func (c *Cache[K, V]) SetLifetime(lifetime time.Duration) { c.lifetime = lifetime }

// Sweep removes the expired entries.
func (c *Cache[K, V]) Sweep(now time.Time) {
	for key, entry := range c.entries {
		if now.After(entry.expires) {
			delete(c.entries, key)
		}
	}
}

// Each calls visit for every entry, including expired ones; visit must not change the cache.
func (c *Cache[K, V]) Each(visit func(K, V)) {
	for key, entry := range c.entries {
		visit(key, entry.value)
	}
}
