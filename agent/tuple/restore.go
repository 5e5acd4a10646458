package tuple

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/member"
	"github.com/cyclamendock/cyclamendock/lib/netio"
)

// recordEra records an era of the store that the store or a balancer has stated. After a rise this agent's entry among the
// members is checked, and its snapshot is stored again.
func (n *Node) recordEra(era uint64) {
	if !n.eras.Record(time.Now(), era) {
		return
	}
	n.config.Log.Warn("The entry and the snapshot of this agent may be lost.", logs.Fields{"era": era})
	select {
	case n.entryChecks <- struct{}{}:
	default:
	}
}

// checkEntry registers this agent again if the store has lost its entry.
func (n *Node) checkEntry() {
	n.mu.Lock()
	agents := n.agentCount
	n.mu.Unlock()
	netio.Sleep(n.ctx, member.CheckPause(agents))
	netio.Retry(n.ctx, func() error {
		listed, err := n.directory.HasEntry(n.ctx)
		if err != nil || listed {
			return err
		}
		n.config.Log.Info("The entry of this agent was lost.", nil)
		n.setListing(flows.ListingAbsent)
		if err := n.directory.Register(n.ctx); err != nil {
			return err
		}
		n.setListing(flows.ListingConfirmed)
		return nil
	}, func(err error) {
		n.config.Log.Warn("The entry of this agent can't be checked.", logs.Fields{"error": err.Error()})
	})
}
