package store

import (
	"context"
	"net/netip"
	"strings"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// Object is a stored value with its key and version.
type Object struct {
	Key     string
	Value   []byte
	Version Version
}

// Store is a key-value store with compare-and-swap and watches, as the platform's object API provides it.
type Store interface {
	// Delete removes an object if its version is the expected one, or returns a Stale fault on a different version, and an
	// Unavailable fault when it is unknown whether the delete has been or will be executed. Deleting a missing object is no
	// error.
	Delete(ctx context.Context, key string, expected Version) error
	// Era returns the latest era that the store has stated so far; zero before its first answer.
	Era() uint64
	// Get returns an object, or a Missing or Unavailable fault.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys have the given prefix, or an Unavailable fault.
	List(ctx context.Context, prefix string) ([]Object, error)
	// ListAt returns the same objects as List and a version of the whole store: the list shows all changes up to that version, and
	// possibly later ones. It returns an Unavailable fault when the list may be incomplete.
	ListAt(ctx context.Context, prefix string) ([]Object, Version, error)
	// Put writes an object if its version is the expected one, where zero means that the object doesn't exist. It returns
	// a Stale fault on a different version, and an Unavailable fault when it is unknown whether the write took effect.
	Put(ctx context.Context, key string, value []byte, expected Version) (Object, error)
	// Watch waits until the object's version differs from the given one and returns the object, or a Missing fault
	// when that does not happen before the watch times out, or an Unavailable fault. After the store has lost changes it
	// returns the object anew, whether or not its value differs.
	Watch(ctx context.Context, key string, known Version) (Object, error)
}

// AddressName returns the part of a key that names the process with the given address.
func AddressName(address netip.AddrPort) string {
	return strings.NewReplacer(".", "-", ":", "-").Replace(address.String())
}

func missing(key string) error {
	return fault.New(fault.Missing, "the platform has no object "+key, "apply a first patch, or check the key")
}

func stale(key string) error {
	return fault.New(fault.Stale, "the object "+key+" has changed meanwhile", "read it again and repeat the change")
}
