package relay

import (
	"net/netip"
	"runtime"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/udpio"
	"github.com/cyclamendock/cyclamendock/lib/wire"
)

// front receives callers' datagrams on one socket and forwards them.
type front struct {
	proxy   *ProxyReader
	relay   *Relay
	router  *Router
	service uint16 // zero when the service is taken from PROXY headers
	socket  *udpio.Socket
}

func newFront(relay *Relay, socket *udpio.Socket, service uint16) *front {
	return &front{
		proxy:   NewProxyReader(),
		relay:   relay,
		router:  NewRouter(relay.config.Back.Address()),
		service: service,
		socket:  socket,
	}
}

// run forwards the datagrams of callers until the socket is closed.
func (f *front) run() {
	reader := udpio.NewReader(f.socket)
	batch := make([]queueItem, 0, udpio.BatchSize)
	var route Route
	for {
		count, err := reader.Read()
		if err != nil {
			return
		}
		now := time.Now()
		view := f.relay.view.Load()
		batch = batch[:0]
		for i := range count {
			reason := f.route(now, view, reader.Datagram(i), reader.From(i), &route)
			if reason != "" {
				f.relay.countDrop(reason)
				continue
			}
			batch = append(batch, f.relay.encode(&route))
		}
		f.relay.enqueue(batch)
		runtime.Gosched() // lets runSend take the whole batch at once
	}
}

// route fills the route of one datagram, or returns the reason to drop it.
func (f *front) route(now time.Time, view *View, datagram []byte, from netip.AddrPort, route *Route) DropReason {
	*route = Route{Forward: wire.Forward{
		Caller:        from,
		Candidates:    route.Forward.Candidates[:0],
		Datagram:      datagram,
		ReturnAddress: from,
		Service:       f.service,
	}}
	if f.service == 0 {
		if reason := f.readProxyHeader(view, route); reason != "" {
			return reason
		}
	}
	if len(route.Forward.Datagram) > f.relay.config.MaxDatagram {
		return DropOversized
	}
	return f.router.Route(now, view, route)
}

// readProxyHeader takes the caller and the service from the PROXY header, or returns the reason to drop the datagram.
func (f *front) readProxyHeader(view *View, route *Route) DropReason {
	if !f.relay.config.Fabric.Allows(route.Forward.ReturnAddress.Addr()) {
		return DropUntrusted
	}
	origin, payload, ok := f.proxy.Read(route.Forward.Datagram)
	if !ok {
		return DropProxyHeader
	}
	service, ok := view.Addresses[origin.Service]
	if !ok {
		return DropUnknownService
	}
	route.Forward.Caller = origin.Caller
	route.Forward.Datagram = payload
	route.Forward.Service = service
	return ""
}
