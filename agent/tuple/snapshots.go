package tuple

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/netio"
)

const (
	// maxSnapshotPause is the longest pause after snapshots that could not be stored.
	maxSnapshotPause = 30 * time.Second
	// minSnapshotInterval is the shortest interval between stored snapshots.
	minSnapshotInterval = 2 * time.Second
	// snapshotWriteShare is the fraction of the store's writes that the snapshots of all agents may use.
	snapshotWriteShare = 0.25
)

// runSnapshots resets the flows of an earlier process of the backend server, and then stores a snapshot of the open
// flows whenever the stored one is outdated.
func (n *Node) runSnapshots() {
	stored := n.loadSnapshot()
	interval := n.snapshotInterval()
	for n.ctx.Err() == nil {
		netio.Sleep(n.ctx, netio.Jitter(interval))
		n.mu.Lock()
		snapshot := n.dispatcher.Snapshot(time.Now())
		n.mu.Unlock()
		if n.archive.Era() < n.guard.Era() {
			stored = flows.Snapshot{} // the store may have lost it
		}
		if snapshot.StartMillis == 0 || !stored.Outdated(snapshot) {
			continue
		}
		if err := n.saveSnapshot(snapshot); err != nil {
			interval = min(2*interval, maxSnapshotPause)
			continue
		}
		stored = snapshot
		interval = n.snapshotInterval()
	}
}

// loadSnapshot returns the last stored snapshot, whose flows it restores, once the store can be read.
func (n *Node) loadSnapshot() flows.Snapshot {
	if n.config.FirstStart {
		return flows.Snapshot{}
	}
	var snapshot flows.Snapshot
	netio.Retry(n.ctx, func() error {
		var err error
		snapshot, err = n.archive.Load(n.ctx)
		if fault.Is(err, fault.Invalid) {
			n.logSnapshotError("The stored snapshot is ignored.", err)
			return nil
		}
		return err
	}, func(err error) { n.logSnapshotError("The stored snapshot can't be read.", err) })
	n.mu.Lock()
	n.dispatcher.Restore(time.Now(), snapshot)
	n.mu.Unlock()
	n.snapshotStored.Store(snapshot.StartMillis != 0)
	n.config.Log.Info("Snapshot restored.", logs.Fields{"born": snapshot.StartMillis, "flows": len(snapshot.Flows)})
	n.resetRestored(time.Now())
	return snapshot
}

// saveSnapshot stores a snapshot. After a lost answer it reads the stored version, so that the next attempt succeeds.
func (n *Node) saveSnapshot(snapshot flows.Snapshot) error {
	n.snapshotStored.Store(true)
	err := n.archive.Save(n.ctx, snapshot)
	if fault.Is(err, fault.Stale) || fault.Is(err, fault.Missing) {
		_, err = n.archive.Load(n.ctx)
		if err == nil || fault.Is(err, fault.Invalid) {
			err = n.archive.Save(n.ctx, snapshot)
		}
	}
	if err != nil {
		n.logSnapshotError("The snapshot can't be stored.", err)
	}
	return err
}

// snapshotInterval returns the interval between snapshots at which all agents together stay within their share of the
// store's writes.
func (n *Node) snapshotInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.config.StoreWrites <= 0 {
		return minSnapshotInterval
	}
	seconds := float64(n.agentCount) / (n.config.StoreWrites * snapshotWriteShare)
	return max(minSnapshotInterval, time.Duration(seconds*float64(time.Second)))
}

// resetRestored resets the flows of the restored snapshot once their backend server's process has ended.
func (n *Node) resetRestored(now time.Time) {
	n.mu.Lock()
	resets := n.dispatcher.ResetRestored(now)
	n.mu.Unlock()
	if len(resets) == 0 {
		return
	}
	n.config.Log.Info("Flows of an earlier backend server are reset.", logs.Fields{"flows": len(resets)})
	n.sendResets(now, resets)
}

// sendResets carries out resets that no datagram has triggered.
func (n *Node) sendResets(now time.Time, resets []flows.AgentVerdict) {
	out := n.newSender(timerBatch, timerBatch)
	for i := range resets {
		n.execute(now, out, &resets[i], nil)
	}
	out.Flush()
}

func (n *Node) logSnapshotError(text string, err error) {
	if n.ctx.Err() == nil {
		n.config.Log.Warn(text, logs.Fields{"error": err.Error()})
	}
}
