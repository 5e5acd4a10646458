package tuple

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/member"
	"github.com/cyclamendock/cyclamendock/lib/snap"
)

// purgeInterval is how often the reader looks for entries of members that have failed for good.
const purgeInterval = 10 * time.Minute

// runMark marks the entries of silent agents for removal. Balancers that start later wait for the answers of these agents only for a
// moment; an agent that reports again is asked to replace its entry.
func (n *Node) runMark(agents []flows.Endpoint) {
	for _, agent := range agents {
		if err := n.directory.Mark(n.ctx, agent.AddrPort()); err != nil {
			n.handleStoreError("The entry of a silent agent can't be marked.", err)
			n.mu.Lock()
			n.director.Agents.SetUnmarked(agent)
			n.mu.Unlock()
		}
	}
}

// runPurge deletes the entries of failed members, and their snapshots, while this balancer is the reader.
func (n *Node) runPurge() {
	ticks := n.clock.Subscribe(purgeInterval)
	purger := member.NewPurger(n.config.Store)
	for {
		select {
		case now := <-ticks:
			if n.isReader() {
				n.purge(now, purger)
			}
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) purge(now time.Time, purger *member.Purger) {
	purged, err := purger.Purge(n.ctx, now)
	if err != nil {
		n.handleStoreError("Entries of failed members can't be removed.", err)
	}
	for _, m := range purged {
		n.config.Log.Info("A failed member was removed.", logs.Fields{"address": m.Address.String(), "role": string(m.Role)})
		if m.Role != member.RoleAgent {
			continue
		}
		if err := snap.NewArchive(n.config.Store, m.Address).Remove(n.ctx); err != nil {
			n.handleStoreError("The snapshot of a failed agent can't be removed.", err)
		}
	}
}

// isReader reports whether this balancer reads the configuration for all balancers.
func (n *Node) isReader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.configReads.isReader()
}
