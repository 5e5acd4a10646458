package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/drain"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/pull"
	"github.com/cyclamendock/cyclamendock/lib/ticket"
)

const (
	fleetPrefix = "fleet/"
	// keyActivationDelay is how long the agent holds a new key before it seals connection IDs with it, so that the key
	// can reach every balancer first.
	keyActivationDelay = 10 * time.Second
)

// bootstrap reads the balancers and the configuration from the platform. While the platform is down, the agent gets
// both through its seeds.
func (n *Node) bootstrap() {
	if head, _, err := config.ReadHead(n.Ctx, n.Store); err == nil {
		if full, err := config.Materialize(n.Ctx, n.Store, head); err == nil {
			n.replaceConfig(full)
		}
	}
	objects, err := n.Store.List(n.Ctx, fleetPrefix)
	if err != nil {
		n.Log.Warn("The platform does not answer at start.", logs.Fields{"reason": err.Error()})
		return
	}
	var balancers []fleet.Record
	for _, object := range objects {
		decoded, ok := fleet.DecodeRecords(object.Value)
		if !ok {
			n.Log.Warn("A zone's object holds malformed records.", logs.Fields{"key": object.Key})
		}
		for _, entry := range decoded {
			if entry.Record.Role == fleet.RoleBalancer && entry.Record.State != fleet.StateDown {
				balancers = append(balancers, entry.Record)
			}
		}
	}
	n.setBalancers(balancers)
}

// runFetchConfig fetches the configuration from a balancer that has a newer one.
func (n *Node) runFetchConfig(from netip.AddrPort) {
	if err := n.fetchConfig(from); err != nil {
		n.Log.Debug("Pulling the configuration failed.", logs.Fields{"from": from.String(), "reason": err.Error()})
	}
}

// fetchConfig fetches the changes since the current version and applies them.
func (n *Node) fetchConfig(from netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(n.Ctx, callTimeout)
	defer cancel()
	n.mu.Lock()
	since := n.replica.Current().Version
	n.mu.Unlock()
	update, err := pull.Pull(ctx, n.Peers, from, since)
	if err != nil {
		return err
	}
	n.mu.Lock()
	changed := update.Apply(n.replica)
	n.mu.Unlock()
	if changed {
		n.applyConfig()
	}
	return nil
}

// replaceConfig applies a complete configuration if it is newer than the current one.
func (n *Node) replaceConfig(full config.Config) {
	n.mu.Lock()
	changed := n.replica.Replace(full)
	n.mu.Unlock()
	if changed {
		n.applyConfig()
	}
}

// applyConfig applies the current configuration to all components of the agent.
func (n *Node) applyConfig() {
	now := time.Now()
	n.mu.Lock()
	current := n.replica.Current()
	n.mu.Unlock()
	n.Log.Info("Configuration in force.", logs.Fields{"version": current.Version})
	n.applyOperatorDrain(current)
	service, ok := current.Service(n.settings.Service)
	if !ok {
		n.Log.Warn("The configuration has no such service.", logs.Fields{"service": n.settings.Service})
		return
	}
	n.slots.Configure(now, service)
	n.handler.Configure(service)
	if sealer, err := ticket.NewSealer(current.TicketSecret); err == nil {
		n.executor.Configure(service.ID, sealer)
	}
	n.applyKeys(current, service.ID)
	n.updateAcceptsFlows(now)
}

func (n *Node) applyOperatorDrain(current config.Config) {
	if current.Drained(n.settings.Name) {
		n.beginDrain(drain.CauseOperator)
		return
	}
	n.endDrain(drain.CauseOperator)
}

// applyKeys installs the keys. When the active key changes, connection IDs are sealed with the previous one until the
// new one has had time to reach every balancer.
func (n *Node) applyKeys(current config.Config, service uint16) {
	n.mu.Lock()
	previous := n.activeKey
	n.mu.Unlock()
	active := current.ActiveKey
	if previous != 0 && previous != active && holdsKey(current, previous) {
		active = previous
		go n.runActivateKey(current.ActiveKey)
	}
	n.installKeys(current, service, active)
}

// runActivateKey makes a new key the sealing key after keyActivationDelay, unless it is no longer the active one.
func (n *Node) runActivateKey(number uint8) {
	ctx, cancel := context.WithTimeout(n.Ctx, keyActivationDelay)
	defer cancel()
	<-ctx.Done()
	n.mu.Lock()
	current := n.replica.Current()
	n.mu.Unlock()
	service, ok := current.Service(n.settings.Service)
	if ok && current.ActiveKey == number && n.Ctx.Err() == nil {
		n.installKeys(current, service.ID, number)
	}
}

func (n *Node) installKeys(current config.Config, service uint16, active uint8) {
	var keys []connid.Key
	for _, key := range current.Keys {
		keys = append(keys, connid.Key{Number: key.Number, Secret: [connid.SecretLength]byte(key.Secret)})
	}
	keyring, err := connid.NewKeyring(keys, active)
	if err != nil {
		n.Log.Error("The connection ID keys can't be used.", err, nil)
		return
	}
	n.mu.Lock()
	n.activeKey = active
	n.mu.Unlock()
	n.endpoint.Configure(service, keyring)
}

func holdsKey(c config.Config, number uint8) bool {
	for _, key := range c.Keys {
		if key.Number == number {
			return true
		}
	}
	return false
}
