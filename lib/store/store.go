package store

import (
	"context"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// An Object is one value of the platform with the version of its last write.
type Object struct {
	Key     string
	Value   []byte
	Version uint64
}

// A Store is the part of the platform's object API that the system uses.
type Store interface {
	// Delete removes an object; one that does not exist is no error.
	Delete(ctx context.Context, key string) error
	// Get returns an object, or a Missing or Unavailable fault.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys have a prefix, or an Unavailable fault.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes an object whose version is the expected one, where zero means that it doesn't exist;
	// it returns a Stale fault on another version, and an Unavailable fault when the write may have taken effect.
	Put(ctx context.Context, key string, value []byte, expected uint64) (Object, error)
	// Watch waits until the object's version is greater than the given one and returns it,
	// or a Missing fault when nothing has changed in time, or an Unavailable fault.
	Watch(ctx context.Context, key string, after uint64) (Object, error)
}

func missing(key string) error {
	return fault.New(fault.Missing, "the platform has no object "+key, "apply a first patch, or check the key")
}

func stale(key string) error {
	return fault.New(fault.Stale, "the object "+key+" has changed meanwhile", "read it again and repeat the change")
}
