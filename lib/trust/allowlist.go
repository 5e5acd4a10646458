package trust

import (
	"net/netip"
	"sync/atomic"
)

// An Allowlist is an allowlist of the configured networks and the addresses of the members; it is safe for concurrent use.
type Allowlist struct {
	memberAddresses atomic.Pointer[map[netip.Addr]bool]
	networks        []netip.Prefix
}

// NewAllowlist returns a list of the networks, without any member addresses.
func NewAllowlist(networks []netip.Prefix) *Allowlist {
	l := &Allowlist{networks: networks}
	l.memberAddresses.Store(&map[netip.Addr]bool{})
	return l
}

// SetMembers replaces the allowed member addresses; their ports are ignored.
func (l *Allowlist) SetMembers(addresses []netip.AddrPort) {
	memberAddresses := make(map[netip.Addr]bool, len(addresses))
	for _, address := range addresses {
		memberAddresses[address.Addr()] = true
	}
	l.memberAddresses.Store(&memberAddresses)
}

// Allows reports whether messages from an address are accepted.
func (l *Allowlist) Allows(address netip.Addr) bool {
	if (*l.memberAddresses.Load())[address] {
		return true
	}
	for _, network := range l.networks {
		if network.Contains(address) {
			return true
		}
	}
	return false
}
