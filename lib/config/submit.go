package config

import (
	"context"
	"fmt"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

const (
	// HeadKey is the object that names the version in force.
	HeadKey = "config/head"

	// headEntries is how many accepted patches the head keeps when its snapshot moves; it grows to twice as many.
	headEntries    = 32
	submitAttempts = 5
)

// A Head is the platform's record of the version in force.
type Head struct {
	Entries  []Entry // those after the snapshot, oldest first
	Snapshot uint64  // version of the whole configuration that Entries follow
	Version  uint64
}

// A Result tells what became of a patch.
type Result struct {
	Repeated bool // the same patch had been accepted before
	Version  uint64
}

// Submit makes the patch the next version, or returns a Stale, Invalid or Unavailable fault.
func Submit(ctx context.Context, platform store.Store, patch Patch) (Result, error) {
	var last error
	for range submitAttempts {
		result, err := submitOnce(ctx, platform, patch)
		if err == nil {
			return result, nil
		}
		if !retryable(err) {
			return Result{}, err
		}
		last = err
	}
	return Result{}, last
}

// errContended marks an attempt that must start again from a fresh read.
type errContended struct{ cause error }

func (e errContended) Error() string { return e.cause.Error() }
func (e errContended) Unwrap() error { return e.cause }

func retryable(err error) bool {
	_, ok := err.(errContended)
	return ok
}

func submitOnce(ctx context.Context, platform store.Store, patch Patch) (Result, error) {
	head, version, err := ReadHead(ctx, platform)
	if err != nil {
		return Result{}, err
	}
	for _, entry := range head.Entries {
		if entry.Patch.ID == patch.ID {
			return Result{Repeated: true, Version: entry.Version}, nil
		}
	}
	current, err := Materialize(ctx, platform, head)
	if err != nil {
		return Result{}, err
	}
	if _, err := Apply(current, patch); err != nil {
		return Result{}, err
	}
	next, err := extend(ctx, platform, head, patch)
	if err != nil {
		return Result{}, err
	}
	_, err = platform.Put(ctx, HeadKey, EncodeHead(next), version)
	if err != nil {
		return Result{}, errContended{cause: uncertain(err, patch)}
	}
	return Result{Version: next.Version}, nil
}

// uncertain tells the operator how to find out what became of the patch.
func uncertain(err error, patch Patch) error {
	if !fault.Is(err, fault.Unavailable) {
		return err
	}
	return fault.Wrap(err, fault.Unavailable, "it is not known whether patch "+patch.ID+" was accepted",
		"submit the same patch with the same ID again")
}

// extend returns the head after the patch, and moves the snapshot forward when the head has grown long.
func extend(ctx context.Context, platform store.Store, head Head, patch Patch) (Head, error) {
	next := Head{Entries: head.Entries, Snapshot: head.Snapshot, Version: head.Version + 1}
	if len(head.Entries) >= 2*headEntries {
		kept := head.Entries[len(head.Entries)-headEntries:]
		whole, err := replay(ctx, platform, head, kept[0].Version-1)
		if err != nil {
			return Head{}, err
		}
		if err := writeSnapshot(ctx, platform, whole); err != nil {
			return Head{}, err
		}
		next.Entries = kept
		next.Snapshot = whole.Version
	}
	next.Entries = append(append([]Entry(nil), next.Entries...), Entry{Patch: patch, Version: next.Version})
	return next, nil
}

// ReadHead returns the head with the version of its object, which is zero before the first patch.
func ReadHead(ctx context.Context, platform store.Store) (Head, uint64, error) {
	object, err := platform.Get(ctx, HeadKey)
	if fault.Is(err, fault.Missing) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	head, err := DecodeHead(object.Value)
	if err != nil {
		return Head{}, 0, err
	}
	return head, object.Version, nil
}

// Materialize returns the whole configuration that a head names.
func Materialize(ctx context.Context, platform store.Store, head Head) (Config, error) {
	return replay(ctx, platform, head, head.Version)
}

// replay returns the whole configuration as of a version that the head still covers.
func replay(ctx context.Context, platform store.Store, head Head, until uint64) (Config, error) {
	current, err := readSnapshot(ctx, platform, head.Snapshot)
	if err != nil {
		return Config{}, err
	}
	for _, entry := range head.Entries {
		if entry.Version > until {
			break
		}
		current, err = Apply(current, entry.Patch)
		if err != nil {
			return Config{}, fault.Wrap(err, fault.Internal, "the platform's configuration chain is broken", "restore the object "+HeadKey)
		}
	}
	return current, nil
}

func snapshotKey(version uint64) string { return fmt.Sprintf("config/snapshot-%d", version) }

func readSnapshot(ctx context.Context, platform store.Store, version uint64) (Config, error) {
	if version == 0 {
		return Config{}, nil
	}
	object, err := platform.Get(ctx, snapshotKey(version))
	if err != nil {
		return Config{}, err
	}
	return DecodeConfig(object.Value)
}

// writeSnapshot creates a snapshot, which is the same whoever writes it first.
func writeSnapshot(ctx context.Context, platform store.Store, c Config) error {
	_, err := platform.Put(ctx, snapshotKey(c.Version), EncodeConfig(c), 0)
	if err == nil || fault.Is(err, fault.Stale) {
		return nil
	}
	return errContended{cause: err}
}
