package relay

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/header"
	"github.com/cyclamendock/cyclamendock/lib/sched"
	"github.com/cyclamendock/cyclamendock/lib/wire"
)

// DropReason is the reason why a datagram was dropped; the empty DropReason means that it was not.
type DropReason string

const (
	// DropEarlyData means that the packet is a 0-RTT packet, which could be replayed.
	DropEarlyData DropReason = "earlyData"
	// DropForgedID means that the connection ID was not sealed with the key that it names.
	DropForgedID DropReason = "forgedId"
	// DropMalformed means that a caller's datagram is not a QUIC packet, that its Initial packet is shorter than
	// header.MinInitialSize, or that an agent's return message could not be decoded.
	DropMalformed DropReason = "malformed"
	// DropNewFlowRate means that the new flow exceeds the service's limit of new flows per second.
	DropNewFlowRate DropReason = "newFlowRate"
	// DropNoBackend means that the new flow's service has no agents.
	DropNoBackend DropReason = "noBackendServer"
	// DropOversized means that the datagram does not fit the path to the agent.
	DropOversized DropReason = "oversized"
	// DropProxyHeader means that the PROXY header is missing or malformed.
	DropProxyHeader DropReason = "proxyHeader"
	// DropQueueFull means that the service's queue, or all queues together, were full.
	DropQueueFull DropReason = "queueFull"
	// DropUnknownKey means that the connection ID names a key that this balancer does not have.
	DropUnknownKey DropReason = "unknownKey"
	// DropUnknownService means that the address or the service ID belongs to no service, or that there is no configuration
	// yet.
	DropUnknownService DropReason = "unknownService"
	// DropUntrusted means that a datagram with a PROXY header, or a message between processes, came from an untrusted
	// address.
	DropUntrusted DropReason = "untrusted"
	// DropWrongService means that the connection ID belongs to another service.
	DropWrongService DropReason = "wrongService"
)

// DropReasons lists all reasons, sorted by name.
var DropReasons = []DropReason{
	DropEarlyData, DropForgedID, DropMalformed, DropNewFlowRate, DropNoBackend, DropOversized, DropProxyHeader,
	DropQueueFull, DropUnknownKey, DropUnknownService, DropUntrusted, DropWrongService,
}

// Route is the routing decision for one datagram.
type Route struct {
	Class      sched.Class
	Forward    wire.Forward   // message to the agent
	OriginalID []byte         // destination connection ID of a new flow's first packet
	To         netip.AddrPort // agent
}

// Router routes callers' datagrams to agents; it must not be used concurrently.
type Router struct {
	rateLimits map[uint16]*sched.TokenBucket // new flows by service ID
	self       netip.AddrPort
}

// NewRouter returns a router for the balancer at an address.
func NewRouter(self netip.AddrPort) *Router {
	return &Router{rateLimits: map[uint16]*sched.TokenBucket{}, self: self}
}

// Route completes the route of a datagram, whose Forward must hold caller, return address, service and payload, and
// returns the reason when the datagram has to be dropped.
func (r *Router) Route(now time.Time, view *View, route *Route) DropReason {
	if view.Keyring == nil {
		return DropUnknownService
	}
	parsed := header.Parse(route.Forward.Datagram, connid.Length)
	if parsed.Kind == header.Malformed {
		return DropMalformed
	}
	id, ok := view.Keyring.Open(parsed.DestinationID)
	if ok {
		return r.routeEstablished(id, route)
	}
	switch parsed.Kind {
	case header.Initial:
		return r.routeOpening(now, view, parsed, route)
	case header.EarlyData:
		return DropEarlyData
	default:
		return idDropReason(view.Keyring, parsed.DestinationID)
	}
}

func (r *Router) routeEstablished(id connid.ID, route *Route) DropReason {
	if id.Service != route.Forward.Service {
		return DropWrongService
	}
	route.Class = sched.ClassEstablished
	route.To = id.Agent
	route.Forward.Balancer = r.self
	return ""
}

func (r *Router) routeOpening(now time.Time, view *View, parsed header.Header, route *Route) DropReason {
	if len(route.Forward.Datagram) < header.MinInitialSize {
		return DropMalformed
	}
	service := route.Forward.Service
	choice := view.Table.Choose(now, service, parsed.DestinationID, route.Forward.Candidates)
	if len(choice.Candidates) == 0 {
		return DropNoBackend
	}
	if !r.rateLimit(now, service, view.Rates[service]).Allow(now) {
		return DropNewFlowRate
	}
	route.Class = sched.ClassOpening
	route.OriginalID = parsed.DestinationID
	route.To = choice.Candidates[0]
	route.Forward.Balancer = r.self
	route.Forward.Candidates = choice.Candidates
	route.Forward.PreviousOwner = choice.PreviousOwner
	return ""
}

func (r *Router) rateLimit(now time.Time, service uint16, rate float64) *sched.TokenBucket {
	bucket := r.rateLimits[service]
	if bucket == nil {
		bucket = sched.NewTokenBucket(now, rate)
		r.rateLimits[service] = bucket
	}
	bucket.SetRate(now, rate)
	return bucket
}

// idDropReason returns the reason why the keyring does not open a connection ID.
func idDropReason(keyring *connid.Keyring, id []byte) DropReason {
	if len(id) == connid.Length && !keyring.Has(id[0]) {
		return DropUnknownKey
	}
	return DropForgedID
}
