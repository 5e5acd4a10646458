package trust

import (
	"net/netip"
	"sync/atomic"
)

// Allowlist holds the configured networks and the addresses of the members; it is safe for concurrent use.
type Allowlist struct {
	memberAddresses atomic.Pointer[map[netip.Addr]bool]
	networks        []netip.Prefix
}

// NewAllowlist returns an allowlist of the networks, without any member addresses.
func NewAllowlist(networks []netip.Prefix) *Allowlist {
	a := &Allowlist{networks: networks}
	a.memberAddresses.Store(&map[netip.Addr]bool{})
	return a
}

// SetMembers replaces the allowed member addresses; their ports are ignored.
func (a *Allowlist) SetMembers(addresses []netip.AddrPort) {
	memberAddresses := make(map[netip.Addr]bool, len(addresses))
	for _, address := range addresses {
		memberAddresses[address.Addr()] = true
	}
	a.memberAddresses.Store(&memberAddresses)
}

// Allows reports whether messages from an address are accepted.
func (a *Allowlist) Allows(address netip.Addr) bool {
	if (*a.memberAddresses.Load())[address] {
		return true
	}
	for _, network := range a.networks {
		if network.Contains(address) {
			return true
		}
	}
	return false
}
