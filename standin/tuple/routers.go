package tuple

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Routers choose the balancer of each packet by its flow, over those that are in rotation.
type Routers struct {
	balancers  []netip.AddrPort
	mu         sync.Mutex
	network    byte // second byte of the callers' loopback addresses
	nextCaller int
	port       uint16 // to which the system sends packets for callers
}

// NewRouters returns routers over balancers that all receive packets at the given port; callers get addresses of a
// loopback network with the given second byte.
func NewRouters(port uint16, network byte, balancers []netip.AddrPort) *Routers {
	return &Routers{balancers: balancers, network: network, port: port}
}

// Remove takes a balancer out of rotation.
func (r *Routers) Remove(balancer netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancers = slices.DeleteFunc(slices.Clone(r.balancers), func(b netip.AddrPort) bool { return b == balancer })
}

// pick returns the balancer of a caller's flow; only the flows of a balancer that is removed move.
func (r *Routers) pick(caller netip.AddrPort) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best netip.AddrPort
	var most uint64
	for _, balancer := range r.balancers {
		if score := xxhash.Sum64String(caller.String() + balancer.String()); score >= most {
			best, most = balancer, score
		}
	}
	return best
}
