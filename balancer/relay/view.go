package relay

import (
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/steer"
)

// View is an immutable snapshot of the configuration and the members for the forwarding goroutines.
type View struct {
	Addresses map[netip.AddrPort]uint16 // service ID by the service's address
	Keyring   *connid.Keyring           // nil before the first configuration
	Rates     map[uint16]float64        // limit of new flows per second by service ID
	Table     *steer.Table              // candidate agents for new flows
}
