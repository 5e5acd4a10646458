package config

import (
	"context"

	"github.com/cyclamendock/cyclamendock/lib/store"
)

// Republish writes the configuration in force to a store that has lost it with its latest changes, and reports whether it did;
// it leaves a head of this version or a newer one alone. It returns an Unavailable fault, or a Stale fault when the head has
// changed meanwhile. A patch whose entry was lost is refused as stale when it is submitted again.
func Republish(ctx context.Context, platform store.Store, inForce Config) (bool, error) {
	head, objectVersion, err := ReadHead(ctx, platform)
	if err != nil || head.Version >= inForce.Version {
		return false, err
	}
	if err := writeSnapshot(ctx, platform, inForce); err != nil {
		return false, err
	}
	_, err = platform.Put(ctx, HeadKey, EncodeHead(Head{Snapshot: inForce.Version, Version: inForce.Version}), objectVersion)
	return err == nil, err
}
