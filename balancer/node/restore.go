package node

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/logs"
)

// checkEra finds out whether the platform has lost its latest changes. This balancer then reads the zone's object again, to
// write it where it lacks members, and publishes the configuration in force until the platform has it.
func (n *Node) checkEra(now time.Time) {
	if n.eras.Record(now, n.Store.Era()) {
		n.Log.Warn("The platform has lost its latest changes.", logs.Fields{"era": n.eras.Latest()})
		n.state.withLock(n.state.zoneWriter.Reload)
		n.republishPending = true
	}
	if n.republishPending {
		n.republish()
	}
}

// republish publishes the configuration in force if the platform has lost it.
func (n *Node) republish() {
	var inForce config.Config
	n.state.withLock(func() { inForce = n.state.configReplica.Current() })
	published, err := config.Republish(n.Ctx, n.Store, inForce)
	if err != nil {
		n.Log.Warn("The configuration can't be published again.", logs.Fields{"reason": err.Error()})
		return
	}
	n.republishPending = false
	if published {
		n.Log.Info("The configuration was published again.", logs.Fields{"version": inForce.Version})
	}
}
