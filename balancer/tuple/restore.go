package tuple

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/member"
	"github.com/cyclamendock/cyclamendock/lib/netio"
)

// unmarked is the value of Node.markedEra while the list of members is not known to be marked.
const unmarked = -1

// recordEra records an era of the store that the store or another process has stated. After a rise it tells other balancers and
// has this balancer's entry among the members checked.
func (n *Node) recordEra(era uint64) {
	if !n.eras.Record(time.Now(), era) {
		return
	}
	n.config.Log.Warn("Entries of members may be lost.", logs.Fields{"era": era})
	select {
	case n.entryChecks <- struct{}{}:
	default:
	}
	n.sendDigests(n.nextDigestPeers(), false)
}

// awaitComplete waits until processes have had time to register since this balancer has known the store's era, and then marks the
// list of members as complete.
func (n *Node) awaitComplete() {
	if left := joinTimeout - n.eras.Age(time.Now()); left > 0 {
		netio.Sleep(n.ctx, left)
		return
	}
	n.runMarkComplete()
	netio.Sleep(n.ctx, listPause)
}

// runMarkComplete marks the list of members as complete in the era that this balancer has known for joinTimeout. The mark
// serves balancers that start later, and holds until the store loses changes again.
func (n *Node) runMarkComplete() {
	era := n.eras.Latest()
	if err := n.directory.MarkComplete(n.ctx, era); err != nil {
		n.handleStoreError("The list of members can't be marked as complete.", err)
		return
	}
	n.markedEra.Store(int64(era))
	n.config.Log.Info("The list of members is complete.", logs.Fields{"era": era})
}

// markDue reports whether this balancer has known the store's era for long enough and the list of members is not known to be
// marked in it.
func (n *Node) markDue(now time.Time) bool {
	return n.eras.Age(now) > joinTimeout && n.markedEra.Load() != int64(n.eras.Latest())
}

// missesEra reports whether another process has seen a later era of the store than this one.
func (n *Node) missesEra() bool { return n.config.Store.Era() < n.eras.Latest() }

// runEntryChecks checks this balancer's entry on request.
func (n *Node) runEntryChecks() {
	for n.ctx.Err() == nil {
		select {
		case <-n.entryChecks:
			n.checkEntry()
		case <-n.ctx.Done():
		}
	}
}

// checkEntry registers this balancer again if the store has lost its entry.
func (n *Node) checkEntry() {
	n.mu.Lock()
	members := len(n.peers.list) + len(n.director.Agents.Addresses())
	n.mu.Unlock()
	netio.Sleep(n.ctx, member.CheckPause(members))
	netio.Retry(n.ctx, func() error {
		listed, err := n.directory.HasEntry(n.ctx)
		if err != nil || listed {
			return err
		}
		n.config.Log.Info("The entry of this balancer was lost.", nil)
		return n.directory.Register(n.ctx)
	}, func(err error) { n.handleStoreError("The entry of this balancer can't be checked.", err) })
}
