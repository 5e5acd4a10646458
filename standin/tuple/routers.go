package tuple

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Routers simulate the network's routers, which choose a balancer in rotation for each packet by a hash of its flow.
type Routers struct {
	balancers   []netip.AddrPort // in rotation
	callerCount int              // caller addresses assigned so far
	mu          sync.Mutex
	network     byte   // second byte of the callers' loopback addresses
	port        uint16 // UDP port at which callers receive packets
}

// NewRouters returns routers in front of the balancers. Callers receive packets at the given port, and get addresses of
// the loopback network with the given second byte.
func NewRouters(port uint16, network byte, balancers []netip.AddrPort) *Routers {
	return &Routers{balancers: balancers, network: network, port: port}
}

// Add puts a balancer into rotation.
func (r *Routers) Add(balancer netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancers = append(slices.Clone(r.balancers), balancer)
}

// Remove takes a balancer out of rotation.
func (r *Routers) Remove(balancer netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancers = slices.DeleteFunc(slices.Clone(r.balancers), func(b netip.AddrPort) bool { return b == balancer })
}

// balancerFor returns the balancer of a caller's flow by rendezvous hashing: removing a balancer moves only its flows.
func (r *Routers) balancerFor(caller netip.AddrPort) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best netip.AddrPort
	var highest uint64
	for _, balancer := range r.balancers {
		if score := xxhash.Sum64String(caller.String() + balancer.String()); score >= highest {
			best, highest = balancer, score
		}
	}
	return best
}
