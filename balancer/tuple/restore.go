package tuple

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/netio"
)

// unmarked is the value of Node.markedEra while this balancer has not marked the list of members.
const unmarked = -1

// pollEra finds out whether the store has lost its latest changes, and tells some other balancers, which do the same.
func (n *Node) pollEra(now time.Time) {
	if n.guard.Poll(now) {
		n.sendDigests(n.nextDigestPeers())
	}
}

// awaitComplete waits until processes have had time to register since this balancer has known the store's era, and then marks the
// list of members as complete.
func (n *Node) awaitComplete() {
	if left := joinTimeout - n.guard.EraAge(time.Now()); left > 0 {
		netio.Sleep(n.ctx, left)
		return
	}
	n.runMarkComplete()
	netio.Sleep(n.ctx, listPause)
}

// runMarkComplete marks the list of members as complete in the era that this balancer has known for joinTimeout. The mark
// serves balancers that start later, and holds until the store loses changes again.
func (n *Node) runMarkComplete() {
	era := n.guard.Era()
	if n.guard.EraAge(time.Now()) < joinTimeout {
		return // the store has lost changes meanwhile
	}
	if err := n.directory.MarkComplete(n.ctx, era); err != nil {
		n.handleStoreError("The list of members can't be marked as complete.", err)
		return
	}
	n.markedEra.Store(int64(era))
	n.config.Log.Info("The list of members is complete.", logs.Fields{"era": era})
}

// markDue reports whether this balancer has known the store's era for long enough and has not marked the list of members in it.
func (n *Node) markDue(now time.Time) bool {
	return n.guard.EraAge(now) > joinTimeout && n.markedEra.Load() != int64(n.guard.Era())
}

// runEntryChecks checks this balancer's entry among the members when that is due.
func (n *Node) runEntryChecks() {
	for n.ctx.Err() == nil {
		select {
		case <-n.guard.Due():
			n.guard.Check(n.ctx)
		case <-n.ctx.Done():
		}
	}
}

// memberCount returns the number of members that this balancer knows.
func (n *Node) memberCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return 1 + len(n.peers.list) + n.director.Agents.Len()
}
