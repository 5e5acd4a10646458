package relay

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/header"
	"github.com/cyclamendock/cyclamendock/lib/sched"
	"github.com/cyclamendock/cyclamendock/lib/wire"
)

// A Drop tells why a datagram was discarded.
type Drop string

const (
	// DropEarlyData is a 0-RTT packet, which could be replayed.
	DropEarlyData Drop = "earlyData"
	// DropForgedID is a connection ID that no key here has sealed.
	DropForgedID Drop = "forgedId"
	// DropMalformed is a datagram that is no QUIC packet.
	DropMalformed Drop = "malformed"
	// DropNoBackend is a new flow of a service without agents.
	DropNoBackend Drop = "noBackendServer"
	// DropOversized is a datagram that does not fit the way to the agent.
	DropOversized Drop = "oversized"
	// DropProxyHeader is a datagram whose PROXY header is missing or malformed.
	DropProxyHeader Drop = "proxyHeader"
	// DropQueueFull is a datagram for which the service's queue had no room.
	DropQueueFull Drop = "queueFull"
	// DropRate is a new flow beyond what the service carries.
	DropRate Drop = "newFlowRate"
	// DropUnknownKey is a connection ID sealed with a key that is not known here.
	DropUnknownKey Drop = "unknownKey"
	// DropUnknownService is a datagram for an address that is no service's.
	DropUnknownService Drop = "unknownService"
	// DropUntrusted is a datagram of the system from an address that is not trusted.
	DropUntrusted Drop = "untrusted"
	// DropWrongService is a connection ID of another service.
	DropWrongService Drop = "wrongService"
)

// Drops lists every reason, in order.
var Drops = []Drop{
	DropEarlyData, DropForgedID, DropMalformed, DropNoBackend, DropOversized, DropProxyHeader,
	DropQueueFull, DropRate, DropUnknownKey, DropUnknownService, DropUntrusted, DropWrongService,
}

// A Route is where one datagram goes.
type Route struct {
	Class   sched.Class
	FirstID []byte // of a new flow
	Forward wire.Forward
	To      netip.AddrPort
}

// A Router decides where datagrams of callers go.
type Router struct {
	buckets map[uint16]*sched.Bucket
	self    netip.AddrPort
}

// NewRouter returns a router for the balancer at an address.
func NewRouter(self netip.AddrPort) *Router {
	return &Router{buckets: map[uint16]*sched.Bucket{}, self: self}
}

// Route fills the route of a datagram, whose Forward names caller, return address, service and
// payload, and returns an empty Drop on success.
func (r *Router) Route(now time.Time, view *View, route *Route) Drop {
	if view.Keyring == nil {
		return DropUnknownService
	}
	parsed := header.Parse(route.Forward.Datagram, connid.Length)
	if parsed.Kind == header.Malformed {
		return DropMalformed
	}
	id, ok := view.Keyring.Open(parsed.Destination)
	if ok {
		return r.established(id, route)
	}
	switch parsed.Kind {
	case header.Initial:
		return r.opening(now, view, parsed, route)
	case header.EarlyData:
		return DropEarlyData
	default:
		return unopened(view.Keyring, parsed.Destination)
	}
}

func (r *Router) established(id connid.ID, route *Route) Drop {
	if id.Service != route.Forward.Service {
		return DropWrongService
	}
	route.Class = sched.Established
	route.To = id.Agent
	route.Forward.Balancer = r.self
	return ""
}

func (r *Router) opening(now time.Time, view *View, parsed header.Header, route *Route) Drop {
	if len(route.Forward.Datagram) < header.MinInitial {
		return DropMalformed
	}
	service := route.Forward.Service
	choice := view.Table.Choose(now, service, parsed.Destination, route.Forward.Candidates)
	if len(choice.Candidates) == 0 {
		return DropNoBackend
	}
	if !r.bucket(now, service, view.Rates[service]).Take(now) {
		return DropRate
	}
	route.Class = sched.Opening
	route.FirstID = parsed.Destination
	route.To = choice.Candidates[0]
	route.Forward.Balancer = r.self
	route.Forward.Candidates = choice.Candidates
	route.Forward.Previous = choice.Previous
	return ""
}

func (r *Router) bucket(now time.Time, service uint16, rate float64) *sched.Bucket {
	known := r.buckets[service]
	if known == nil {
		known = sched.NewBucket(now, rate)
		r.buckets[service] = known
	}
	known.SetRate(now, rate)
	return known
}

func unopened(keyring *connid.Keyring, id []byte) Drop {
	if len(id) == connid.Length && !keyring.Has(id[0]) {
		return DropUnknownKey
	}
	return DropForgedID
}
