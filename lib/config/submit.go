package config

import (
	"context"
	"fmt"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

const (
	// HeadKey is the key of the object that holds the Head.
	HeadKey = "config/head"

	// headEntries is the number of entries that remain in the head when a new snapshot is taken, which happens when
	// the head has twice as many.
	headEntries    = 32
	submitAttempts = 5
)

// Head identifies the version in force: a snapshot and the patches accepted after it.
type Head struct {
	Entries  []Entry // accepted after the snapshot, oldest first
	Snapshot uint64  // version of the snapshot object, or zero when there is none
	Version  uint64  // version in force
}

// Result describes an accepted patch.
type Result struct {
	Repeated bool // the patch had already been accepted in an earlier attempt
	Version  uint64
}

// Submit writes the patch to the platform as the next version by compare-and-swap, or returns a Stale, Invalid or
// Unavailable fault.
func Submit(ctx context.Context, platform store.Store, patch Patch) (Result, error) {
	var lastErr error
	for range submitAttempts {
		result, err := submitOnce(ctx, platform, patch)
		if err == nil {
			return result, nil
		}
		if !isRetryable(err) {
			return Result{}, err
		}
		lastErr = err
	}
	return Result{}, lastErr
}

// retryableError marks a failed write, after which Submit starts again by reading the head.
type retryableError struct{ cause error }

func (e retryableError) Error() string { return e.cause.Error() }
func (e retryableError) Unwrap() error { return e.cause }

func isRetryable(err error) bool {
	_, ok := err.(retryableError)
	return ok
}

func submitOnce(ctx context.Context, platform store.Store, patch Patch) (Result, error) {
	head, objectVersion, err := ReadHead(ctx, platform)
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
	next, err := appendPatch(ctx, platform, head, patch)
	if err != nil {
		return Result{}, err
	}
	_, err = platform.Put(ctx, HeadKey, EncodeHead(next), objectVersion)
	if err != nil {
		return Result{}, retryableError{cause: unknownOutcome(err, patch)}
	}
	return Result{Version: next.Version}, nil
}

// unknownOutcome replaces an Unavailable fault of the write with one that tells the operator how to resolve it, since the
// patch may have been accepted.
func unknownOutcome(err error, patch Patch) error {
	if !fault.Is(err, fault.Unavailable) {
		return err
	}
	return fault.Wrap(err, fault.Unavailable, "it is not known whether patch "+patch.ID+" was accepted",
		"submit the same patch with the same ID again")
}

// appendPatch returns the head extended by the patch. When the head has too many entries, appendPatch writes a newer
// snapshot and drops the entries that it covers.
func appendPatch(ctx context.Context, platform store.Store, head Head, patch Patch) (Head, error) {
	next := Head{Entries: head.Entries, Snapshot: head.Snapshot, Version: head.Version + 1}
	if len(head.Entries) >= 2*headEntries {
		recent := head.Entries[len(head.Entries)-headEntries:]
		snapshot, err := replay(ctx, platform, head, recent[0].Version-1)
		if err != nil {
			return Head{}, err
		}
		if err := writeSnapshot(ctx, platform, snapshot); err != nil {
			return Head{}, err
		}
		next.Entries = recent
		next.Snapshot = snapshot.Version
	}
	next.Entries = append(append([]Entry(nil), next.Entries...), Entry{Patch: patch, Version: next.Version})
	return next, nil
}

// ReadHead returns the head and the version of its object, which is zero when no patch has been accepted yet.
func ReadHead(ctx context.Context, platform store.Store) (Head, store.Version, error) {
	object, err := platform.Get(ctx, HeadKey)
	if fault.Is(err, fault.Missing) {
		return Head{}, store.Version{}, nil
	}
	if err != nil {
		return Head{}, store.Version{}, err
	}
	head, err := DecodeHead(object.Value)
	if err != nil {
		return Head{}, store.Version{}, err
	}
	return head, object.Version, nil
}

// Materialize returns the complete configuration of a head: its snapshot with all of its entries applied.
func Materialize(ctx context.Context, platform store.Store, head Head) (Config, error) {
	return replay(ctx, platform, head, head.Version)
}

// replay returns the complete configuration of the given version, which must not be older than the head's snapshot.
func replay(ctx context.Context, platform store.Store, head Head, version uint64) (Config, error) {
	current, err := readSnapshot(ctx, platform, head.Snapshot)
	if err != nil {
		return Config{}, err
	}
	for _, entry := range head.Entries {
		if entry.Version > version {
			break
		}
		current, err = Apply(current, entry.Patch)
		if err != nil {
			return Config{}, fault.Wrap(err, fault.Internal, "a patch in the platform's configuration history can't be applied",
				"restore the object "+HeadKey)
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

// writeSnapshot writes a snapshot unless it exists; all processes write the same content for a version.
func writeSnapshot(ctx context.Context, platform store.Store, c Config) error {
	_, err := platform.Put(ctx, snapshotKey(c.Version), EncodeConfig(c), store.Version{})
	if err == nil || fault.Is(err, fault.Stale) {
		return nil
	}
	return retryableError{cause: err}
}
