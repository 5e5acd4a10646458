package node

import (
	"context"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

const (
	fleetPrefix    = "fleet/"
	scribeInterval = 500 * time.Millisecond
	watchBackoff   = time.Second
)

// bootstrap learns configuration and fleet from the platform, or from the seeds while it is down.
func (n *Node) bootstrap() {
	now := time.Now()
	if err := n.readConfig(); err != nil {
		n.Log.Warn("The platform does not answer at start.", logs.Fields{"reason": err.Error()})
	}
	objects, err := n.Platform.List(n.Ctx, fleetPrefix)
	if err == nil {
		n.platformAnswered()
	}
	for _, object := range objects {
		if records, ok := fleet.DecodeRecords(object.Value); ok {
			n.state.locked(func() { n.state.merge(now, records) })
		}
	}
	var version uint64
	n.state.locked(func() { version = n.state.version() })
	for _, seed := range n.settings.Seeds {
		if version == 0 && seed != n.settings.Address && n.pull(seed) == nil {
			n.runExchange(seed)
			return
		}
	}
}

// readConfig takes the configuration that the platform holds.
func (n *Node) readConfig() error {
	head, _, err := config.ReadHead(n.Ctx, n.Platform)
	if err != nil {
		return err
	}
	n.platformAnswered()
	return n.takeHead(head)
}

func (n *Node) takeHead(head config.Head) error {
	var before uint64
	var gap bool
	n.state.locked(func() {
		before = n.state.version()
		gap = n.state.offer(head.Entries)
	})
	if gap {
		whole, err := config.Materialize(n.Ctx, n.Platform, head)
		if err != nil {
			return err
		}
		n.state.locked(func() { n.state.offerWhole(whole) })
	}
	n.configChanged(before)
	return nil
}

// runWatch follows the platform's configuration while this balancer is one of its zone's watchers.
func (n *Node) runWatch() {
	var seen uint64
	for n.Ctx.Err() == nil {
		var rank int
		n.state.locked(func() { rank = n.state.rank() })
		if rank >= fleet.ScribeCount {
			n.pause(watchBackoff)
			continue
		}
		seen = n.watchOnce(seen)
	}
}

func (n *Node) watchOnce(seen uint64) uint64 {
	object, err := n.Platform.Watch(n.Ctx, config.HeadKey, seen)
	if fault.Is(err, fault.Missing) {
		n.platformAnswered()
		return seen
	}
	if err != nil {
		n.pause(watchBackoff)
		return seen
	}
	n.platformAnswered()
	head, err := config.DecodeHead(object.Value)
	if err == nil {
		err = n.takeHead(head)
	}
	if err != nil {
		n.Log.Error("The platform's configuration can't be used.", err, nil)
		n.pause(watchBackoff)
		return seen
	}
	return object.Version
}

// runScribe keeps the zone's object in step with the membership.
func (n *Node) runScribe() {
	ticks := n.Clock.Subscribe(scribeInterval)
	for {
		select {
		case now := <-ticks:
			n.scribe(now)
		case <-n.Ctx.Done():
			return
		}
	}
}

func (n *Node) scribe(now time.Time) {
	var task fleet.Task
	n.state.locked(func() {
		digest := n.state.replica.ZoneDigest(n.settings.AvailabilityZone)
		task = n.state.scribe.Tick(now, n.state.rank(), digest)
	})
	switch task {
	case fleet.TaskLoad:
		n.loadZone(now)
	case fleet.TaskSave:
		n.saveZone(now)
	}
}

func (n *Node) zoneKey() string { return fleetPrefix + n.settings.AvailabilityZone }

func (n *Node) loadZone(now time.Time) {
	object, err := n.Platform.Get(n.Ctx, n.zoneKey())
	if fault.Is(err, fault.Missing) {
		n.platformAnswered()
		n.state.locked(func() { n.state.scribe.Loaded(0, 0) })
		return
	}
	if err != nil {
		n.state.locked(func() { n.state.scribe.Failed(now) })
		return
	}
	n.platformAnswered()
	records, ok := fleet.DecodeRecords(object.Value)
	if !ok {
		n.Log.Warn("The zone's object is malformed and will be replaced.", logs.Fields{"key": n.zoneKey()})
	}
	n.mergeRecords(now, records)
	n.state.locked(func() { n.state.scribe.Loaded(object.Version, fleet.DigestOfAll(records)) })
}

func (n *Node) saveZone(now time.Time) {
	var value []byte
	var digest, version uint64
	n.state.locked(func() {
		value = fleet.EncodeRecords(n.state.replica.Zone(now, n.settings.AvailabilityZone))
		digest = n.state.replica.ZoneDigest(n.settings.AvailabilityZone)
		version = n.state.scribe.Version()
	})
	object, err := n.put(n.zoneKey(), value, version)
	n.state.locked(func() {
		switch {
		case err == nil:
			n.state.scribe.Saved(object.Version, digest)
		case fault.Is(err, fault.Stale):
			n.state.scribe.Outdated()
		default:
			n.state.scribe.Failed(now)
		}
	})
}

func (n *Node) put(key string, value []byte, version uint64) (store.Object, error) {
	object, err := n.Platform.Put(n.Ctx, key, value, version)
	if err == nil {
		n.platformAnswered()
	}
	return object, err
}

func (n *Node) platformAnswered() {
	n.state.locked(func() { n.state.platformAt = time.Now() })
}

func (n *Node) pause(d time.Duration) {
	ctx, cancel := context.WithTimeout(n.Ctx, d)
	defer cancel()
	<-ctx.Done()
}
