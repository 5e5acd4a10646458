package flow

import (
	"net/netip"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// connIDGenerator makes the connection IDs of an agent's flows.
type connIDGenerator struct {
	address     netip.AddrPort
	incarnation uint16
	keyring     *atomic.Pointer[connid.Keyring]
	nonce       atomic.Uint32
	service     *atomic.Uint32
}

// GenerateConnectionID returns a new ID that contains the agent's address, sealed with the active key, or an
// Unavailable fault before the first configuration.
func (g *connIDGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	keyring := g.keyring.Load()
	if keyring == nil {
		return quic.ConnectionID{}, fault.New(fault.Unavailable, "no configuration is in force", "check the platform and the seeds")
	}
	return quic.ConnectionIDFromBytes(keyring.Seal(nil, connid.ID{
		Agent:       g.address,
		Incarnation: g.incarnation,
		Nonce:       g.nonce.Add(1),
		Service:     uint16(g.service.Load()),
	})), nil
}

// ConnectionIDLen returns the length of every connection ID in bytes.
func (g *connIDGenerator) ConnectionIDLen() int { return connid.Length }

var _ quic.ConnectionIDGenerator = (*connIDGenerator)(nil)
