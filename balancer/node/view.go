package node

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/balancer/relay"
	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/steer"
)

// minFlowTurnover is the shortest time within which all connections of a service may be replaced by new ones.
const minFlowTurnover = 10 * time.Second

// buildView returns a view for the forwarding goroutines; its table is an updated copy of the previous one.
func buildView(now time.Time, previous *steer.Table, c config.Config, records []fleet.Record, suspects map[string]bool) (*relay.View, error) {
	view := &relay.View{
		Addresses: map[netip.AddrPort]uint16{},
		Rates:     map[uint16]float64{},
		Table:     previous.Clone(),
	}
	if c.Version == 0 {
		return view, nil
	}
	keyring, err := buildKeyring(c)
	if err != nil {
		return nil, err
	}
	view.Keyring = keyring
	byService := map[string][]steer.Agent{}
	for _, record := range records {
		byService[record.Service] = append(byService[record.Service], steer.Agent{
			Address:  record.Address,
			Draining: record.State == fleet.StateDraining || c.Drained(record.Name),
			Suspect:  suspects[record.Name],
			Weight:   record.Weight,
		})
	}
	for _, service := range c.Services {
		agents := byService[service.Name]
		view.Addresses[service.Address] = service.ID
		view.Rates[service.ID] = float64(service.MaxConnections*len(agents)) / minFlowTurnover.Seconds()
		view.Table.Set(now, service.ID, agents)
	}
	return view, nil
}

func buildKeyring(c config.Config) (*connid.Keyring, error) {
	var keys []connid.Key
	for _, key := range c.Keys {
		keys = append(keys, connid.Key{Number: key.Number, Secret: [connid.SecretLength]byte(key.Secret)})
	}
	return connid.NewKeyring(keys, c.ActiveKey)
}
