package trust

import (
	"net/netip"
	"sync/atomic"
)

// A List is an allowlist of the configured networks and the addresses of the members; it is safe for concurrent use.
type List struct {
	memberAddresses atomic.Pointer[map[netip.Addr]bool]
	networks        []netip.Prefix
}

// NewList returns a list of the networks, without any member addresses.
func NewList(networks []netip.Prefix) *List {
	l := &List{networks: networks}
	l.memberAddresses.Store(&map[netip.Addr]bool{})
	return l
}

// SetMembers replaces the allowed member addresses; their ports are ignored.
func (l *List) SetMembers(addresses []netip.AddrPort) {
	memberAddresses := make(map[netip.Addr]bool, len(addresses))
	for _, address := range addresses {
		memberAddresses[address.Addr()] = true
	}
	l.memberAddresses.Store(&memberAddresses)
}

// Allows reports whether messages from an address are accepted.
func (l *List) Allows(address netip.Addr) bool {
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
