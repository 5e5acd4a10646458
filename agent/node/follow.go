package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/drain"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/follow"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/ticket"
)

const (
	fleetPrefix = "fleet/"
	// keyHold is how long a new key is known here before connection IDs are sealed with it.
	keyHold = 10 * time.Second
)

// bootstrap learns balancers and configuration from the platform; the seeds serve while it is down.
func (n *Node) bootstrap() {
	if head, _, err := config.ReadHead(n.Ctx, n.Platform); err == nil {
		if whole, err := config.Materialize(n.Ctx, n.Platform, head); err == nil {
			n.offerWhole(whole)
		}
	}
	objects, err := n.Platform.List(n.Ctx, fleetPrefix)
	if err != nil {
		n.Log.Warn("The platform does not answer at start.", logs.Fields{"reason": err.Error()})
		return
	}
	var balancers []fleet.Record
	for _, object := range objects {
		aged, _ := fleet.DecodeRecords(object.Value)
		for _, a := range aged {
			if a.Record.Role == fleet.RoleBalancer && a.Record.State != fleet.StateDown {
				balancers = append(balancers, a.Record)
			}
		}
	}
	n.setBalancers(balancers)
}

// runPull fetches the configuration from a balancer that holds a newer one.
func (n *Node) runPull(from netip.AddrPort) {
	if err := n.pull(from); err != nil {
		n.Log.Debug("Pulling the configuration failed.", logs.Fields{"from": from.String(), "reason": err.Error()})
	}
}

func (n *Node) pull(from netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(n.Ctx, callTimeout)
	defer cancel()
	n.mu.Lock()
	since := n.holder.Current().Version
	n.mu.Unlock()
	update, err := follow.Pull(ctx, n.Calls, from, since)
	if err != nil {
		return err
	}
	n.mu.Lock()
	changed := update.Apply(n.holder)
	n.mu.Unlock()
	if changed {
		n.applyConfig()
	}
	return nil
}

func (n *Node) offerWhole(whole config.Config) {
	n.mu.Lock()
	changed := n.holder.OfferWhole(whole)
	n.mu.Unlock()
	if changed {
		n.applyConfig()
	}
}

// applyConfig puts the held configuration in force.
func (n *Node) applyConfig() {
	now := time.Now()
	n.mu.Lock()
	current := n.holder.Current()
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
		n.runs.Configure(service.ID, sealer)
	}
	n.applyKeys(current, service.ID)
	n.updateTakes(now)
}

func (n *Node) applyOperatorDrain(current config.Config) {
	if current.Drained(n.settings.Name) {
		n.beginDrain(drain.CauseOperator)
		return
	}
	n.endDrain(drain.CauseOperator)
}

// applyKeys seals with the key before until the active one has had time to reach every balancer.
func (n *Node) applyKeys(current config.Config, service uint16) {
	n.mu.Lock()
	before := n.activeKey
	n.mu.Unlock()
	active := current.ActiveKey
	if before != 0 && before != active && holdsKey(current, before) {
		active = before
		go n.runActivate(current.ActiveKey)
	}
	n.installKeys(current, service, active)
}

// runActivate seals with a new key after it has been held for long enough.
func (n *Node) runActivate(number uint8) {
	ctx, cancel := context.WithTimeout(n.Ctx, keyHold)
	defer cancel()
	<-ctx.Done()
	n.mu.Lock()
	current := n.holder.Current()
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
