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
	zonePrefix       = "fleet/"
	zoneSyncInterval = 500 * time.Millisecond
	watchBackoff     = time.Second
)

// bootstrap loads the configuration and the members from the platform, or from the seeds when it has no configuration.
func (n *Node) bootstrap() {
	now := time.Now()
	if err := n.readConfig(); err != nil {
		n.Log.Warn("The platform does not answer at start.", logs.Fields{"reason": err.Error()})
	}
	objects, err := n.Store.List(n.Ctx, zonePrefix)
	if err == nil {
		n.recordPlatformAnswer()
	}
	for _, object := range objects {
		records, ok := fleet.DecodeRecords(object.Value)
		if !ok {
			n.Log.Warn("A zone's object holds malformed records.", logs.Fields{"key": object.Key})
		}
		n.state.withLock(func() { n.state.merge(now, records) })
	}
	var version uint64
	n.state.withLock(func() { version = n.state.version() })
	for _, seed := range n.settings.Seeds {
		if version == 0 && seed != n.settings.Address && n.pull(seed) == nil {
			n.runExchange(seed)
			return
		}
	}
}

// readConfig reads the configuration from the platform and applies it.
func (n *Node) readConfig() error {
	head, _, err := config.ReadHead(n.Ctx, n.Store)
	if err != nil {
		return err
	}
	n.recordPlatformAnswer()
	return n.applyHead(head)
}

func (n *Node) applyHead(head config.Head) error {
	var previous uint64
	var gap bool
	n.state.withLock(func() {
		previous = n.state.version()
		gap = n.state.applyEntries(head.Entries)
	})
	if gap {
		full, err := config.Materialize(n.Ctx, n.Store, head)
		if err != nil {
			return err
		}
		n.state.withLock(func() { n.state.replaceConfig(full) })
	}
	n.activateConfig(previous)
	return nil
}

// runWatch watches the platform's configuration while this balancer is one of the first fleet.ZoneWriterCount writers of
// its zone's object.
func (n *Node) runWatch() {
	var headVersion store.Version
	for n.Ctx.Err() == nil {
		var rank int
		n.state.withLock(func() { rank = n.state.zoneRank() })
		if rank >= fleet.ZoneWriterCount {
			n.pause(watchBackoff)
			continue
		}
		headVersion = n.watchOnce(headVersion)
	}
}

// watchOnce waits until the version of the configuration's head object differs from headVersion, applies it, and returns the version
// from which the next watch starts.
func (n *Node) watchOnce(headVersion store.Version) store.Version {
	object, err := n.Store.Watch(n.Ctx, config.HeadKey, headVersion)
	if fault.Is(err, fault.Missing) {
		n.recordPlatformAnswer()
		return headVersion
	}
	if err != nil {
		n.pause(watchBackoff)
		return headVersion
	}
	n.recordPlatformAnswer()
	head, err := config.DecodeHead(object.Value)
	if err == nil {
		err = n.applyHead(head)
	}
	if err != nil {
		n.Log.Error("The platform's configuration can't be used.", err, nil)
		n.pause(watchBackoff)
		return headVersion
	}
	return object.Version
}

// runZoneSync keeps the platform's object of this zone in sync with the membership.
func (n *Node) runZoneSync() {
	ticks := n.Clock.Subscribe(zoneSyncInterval)
	for {
		select {
		case now := <-ticks:
			n.checkEra(now)
			n.syncZone(now)
		case <-n.Ctx.Done():
			return
		}
	}
}

// syncZone makes the platform call that is due for the zone's object, if any.
func (n *Node) syncZone(now time.Time) {
	var task fleet.Task
	n.state.withLock(func() {
		digest := n.state.memberReplica.ZoneDigest(n.settings.AvailabilityZone)
		task = n.state.zoneWriter.Tick(now, n.state.zoneRank(), digest)
	})
	switch task {
	case fleet.TaskLoad:
		n.loadZone(now)
	case fleet.TaskSave:
		n.saveZone(now)
	}
}

func (n *Node) zoneKey() string { return zonePrefix + n.settings.AvailabilityZone }

func (n *Node) loadZone(now time.Time) {
	object, err := n.Store.Get(n.Ctx, n.zoneKey())
	if fault.Is(err, fault.Missing) {
		n.recordPlatformAnswer()
		n.state.withLock(func() { n.state.zoneWriter.Loaded(store.Version{}, 0) })
		return
	}
	if err != nil {
		n.state.withLock(func() { n.state.zoneWriter.Failed(now) })
		return
	}
	n.recordPlatformAnswer()
	records, ok := fleet.DecodeRecords(object.Value)
	if !ok {
		n.Log.Warn("The zone's object is malformed and will be replaced.", logs.Fields{"key": n.zoneKey()})
	}
	n.mergeRecords(now, records)
	n.state.withLock(func() { n.state.zoneWriter.Loaded(object.Version, fleet.DigestOfAll(records)) })
}

func (n *Node) saveZone(now time.Time) {
	var value []byte
	var digest uint64
	var version store.Version
	n.state.withLock(func() {
		value = fleet.EncodeRecords(n.state.memberReplica.ZoneRecords(now, n.settings.AvailabilityZone))
		digest = n.state.memberReplica.ZoneDigest(n.settings.AvailabilityZone)
		version = n.state.zoneWriter.Version()
	})
	object, err := n.put(n.zoneKey(), value, version)
	n.state.withLock(func() {
		switch {
		case err == nil:
			n.state.zoneWriter.Saved(object.Version, digest)
		case fault.Is(err, fault.Stale):
			n.state.zoneWriter.Conflicted()
		default:
			n.state.zoneWriter.Failed(now)
		}
	})
}

func (n *Node) put(key string, value []byte, version store.Version) (store.Object, error) {
	object, err := n.Store.Put(n.Ctx, key, value, version)
	if err == nil {
		n.recordPlatformAnswer()
	}
	return object, err
}

func (n *Node) recordPlatformAnswer() {
	n.state.withLock(func() { n.state.platformAnsweredAt = time.Now() })
}

func (n *Node) pause(d time.Duration) {
	ctx, cancel := context.WithTimeout(n.Ctx, d)
	defer cancel()
	<-ctx.Done()
}
