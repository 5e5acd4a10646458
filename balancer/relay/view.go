package relay

import (
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/steer"
)

// A View is what the forwarding goroutines know about configuration and fleet; it never changes.
type View struct {
	Addresses map[netip.AddrPort]uint16 // services by address
	Keyring   *connid.Keyring           // nil before the first configuration
	Rates     map[uint16]float64        // new flows per second that a service carries
	Table     *steer.Table
}
