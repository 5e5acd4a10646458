package tuple

import (
	"errors"
	"net/netip"
	"syscall"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/link"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/port"
)

// do carries out a verdict about a datagram, which it may change.
func (n *Node) do(now time.Time, out *port.Outlet, verdict *carry.AgentVerdict, datagram []byte) {
	if verdict.Datagram != nil {
		datagram = verdict.Datagram
	}
	switch verdict.Action {
	case carry.AgentDeliver:
		n.config.Codec.SetEcho(datagram, verdict.Echo)
		if _, err := n.inlet.Write(datagram); err != nil {
			n.refused(now, out, verdict.Echo, datagram, err)
		}
	case carry.AgentMessage:
		n.meter.passed.Inc()
		n.config.Codec.ClearBounced(datagram)
		n.config.Codec.SetEcho(datagram, 0)
		verdict.Forward.Datagram = datagram
		out.Forward(&verdict.Forward, verdict.Kind, verdict.To)
	case carry.AgentOwn:
		out.Message(carry.Owner{Flow: verdict.Flow}.Append, verdict.To)
	case carry.AgentReset:
		out.Reset(verdict.Flow, verdict.Seq)
		n.meter.resets.Inc()
		n.logReset(now, verdict)
	}
}

// newOutlet returns an outlet for one goroutine that queues up to the given numbers of datagrams.
func (n *Node) newOutlet(callers, peers int) *port.Outlet {
	return port.NewOutlet(port.OutletConfig{
		CallerBatch:  callers,
		CallerPort:   n.config.CallerPort,
		CallerSocket: n.outlet,
		Codec:        n.config.Codec,
		PeerBatch:    peers,
		PeerSocket:   n.socket,
	})
}

// refused tries the next agent when the backend server's port is closed.
func (n *Node) refused(now time.Time, out *port.Outlet, echo uint32, datagram []byte, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		n.logLimited(now, "A packet can't be delivered.", logs.Fields{"error": err.Error()})
		return
	}
	packet, ok := n.config.Codec.Decode(datagram)
	if !ok {
		return
	}
	n.noteClosed(now)
	n.mu.Lock()
	verdict := n.carrier.Refused(now, packet, echo)
	n.mu.Unlock()
	if verdict.Action != carry.AgentDeliver {
		n.do(now, out, &verdict, datagram)
	}
}

// runSocket handles messages of other processes until the socket closes.
func (n *Node) runSocket() {
	inlet := port.Inlet{Batch: readBatch, Handle: n.handle, Outlet: n.newOutlet(timerBatch, writeBatch), Socket: n.socket}
	n.logClosed("processes", inlet.Loop())
}

func (n *Node) handle(now time.Time, out *port.Outlet, message []byte, from netip.AddrPort) {
	if !n.config.Trust.Allows(from.Addr()) {
		n.config.Ignored.Note(now, port.InputUntrusted, from.String(), "the address is not trusted")
		return
	}
	switch carry.KindOf(message) {
	case carry.KindForward:
		n.handleForward(now, out, message, from)
	case carry.KindHello:
		n.mu.Lock()
		n.carrier.Greeted(now, carry.EndpointOf(from))
		report := n.carrier.Report(now)
		n.mu.Unlock()
		out.Message(report.Append, carry.EndpointOf(from))
	case carry.KindJoin:
		n.joinSoon()
	default:
		n.config.Ignored.Note(now, port.InputMessage, from.String(), "unknown kind")
	}
}

func (n *Node) handleForward(now time.Time, out *port.Outlet, message []byte, from netip.AddrPort) {
	var f carry.Forward
	if !f.Decode(message) {
		n.config.Ignored.Note(now, port.InputMessage, from.String(), "malformed message")
		return
	}
	packet, ok := n.config.Codec.Decode(f.Datagram)
	if !ok {
		n.config.Ignored.Note(now, port.InputMessage, from.String(), "malformed packet inside")
		return
	}
	n.mu.Lock()
	verdict := n.carrier.Forwarded(now, &f, packet)
	n.mu.Unlock()
	n.do(now, out, &verdict, f.Datagram)
}

// runOutlet carries the backend server's packets to callers until the socket closes.
func (n *Node) runOutlet() {
	inlet := port.Inlet{Batch: readBatch, Handle: n.handleServer, Outlet: n.newOutlet(writeBatch, timerBatch), Socket: n.outlet}
	n.logClosed("the backend server", inlet.Loop())
}

func (n *Node) handleServer(now time.Time, out *port.Outlet, datagram []byte, from netip.AddrPort) {
	packet, ok := n.config.Codec.Decode(datagram)
	if !ok {
		n.config.Ignored.Note(now, port.InputServerPacket, from.String(), "malformed packet")
		return
	}
	if packet.Flags.Has(carry.FlagBounced) {
		n.mu.Lock()
		verdict := n.carrier.Bounced(now, packet)
		n.mu.Unlock()
		n.do(now, out, &verdict, datagram)
		return
	}
	n.mu.Lock()
	balancer, tell := n.carrier.FromServer(now, packet)
	released := n.carrier.Release(now)
	n.mu.Unlock()
	out.Caller(datagram, packet.Destination)
	if tell {
		out.Message(carry.Owner{Flow: packet.FromServer()}.Append, balancer)
	}
	for i := range released {
		n.do(now, out, &released[i], nil)
	}
}

// runInlet waits for errors of the backend server's port, which sends nothing here.
func (n *Node) runInlet() {
	buffer := make([]byte, link.MaxDatagram)
	for n.ctx.Err() == nil {
		if _, err := n.inlet.Read(buffer); errors.Is(err, syscall.ECONNREFUSED) {
			n.noteClosed(time.Now())
		} else if err != nil && n.ctx.Err() == nil {
			n.logLimited(time.Now(), "The backend server's port can't be read.", logs.Fields{"error": err.Error()})
		}
	}
}

func (n *Node) logReset(now time.Time, verdict *carry.AgentVerdict) {
	n.logLimited(now, "Flow reset.", logs.Fields{
		"caller":  verdict.Flow.Caller.String(),
		"reason":  string(verdict.Reason),
		"request": verdict.Request,
		"route":   verdict.Flow.Service.String(),
	})
}

func (n *Node) logLimited(now time.Time, text string, fields logs.Fields) {
	suppressed, ok := n.limiter.Allow(now)
	if !ok {
		return
	}
	fields["suppressed"] = suppressed
	n.config.Log.Info(text, fields)
}

func (n *Node) logClosed(what string, err error) {
	if n.ctx.Err() == nil {
		n.config.Log.Error("The socket for "+what+" has failed.", err, nil)
	}
}
