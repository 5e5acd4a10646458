package trust

import (
	"net/netip"
	"sync/atomic"
)

// A List holds the networks of the settings and the addresses of the members.
type List struct {
	members  atomic.Pointer[map[netip.Addr]bool]
	networks []netip.Prefix
}

// NewList returns a list without members.
func NewList(networks []netip.Prefix) *List {
	l := &List{networks: networks}
	l.members.Store(&map[netip.Addr]bool{})
	return l
}

// SetMembers replaces the addresses of the members.
func (l *List) SetMembers(addresses []netip.AddrPort) {
	members := make(map[netip.Addr]bool, len(addresses))
	for _, address := range addresses {
		members[address.Addr()] = true
	}
	l.members.Store(&members)
}

// Allows reports whether messages from an address are taken.
func (l *List) Allows(address netip.Addr) bool {
	if (*l.members.Load())[address] {
		return true
	}
	for _, network := range l.networks {
		if network.Contains(address) {
			return true
		}
	}
	return false
}
