package tuple

import (
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/member"
	"github.com/cyclamendock/cyclamendock/lib/netio"
)

// recordEra records an era of the store that the store or another process has stated. After a rise it tells other balancers and
// has this balancer's entry among the members checked.
func (n *Node) recordEra(era uint64) {
	if !n.eras.Record(era) {
		return
	}
	n.config.Log.Warn("Entries of members may be lost.", logs.Fields{"era": era})
	select {
	case n.entryChecks <- struct{}{}:
	default:
	}
	n.sendDigests(n.nextDigestPeers(), false)
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
