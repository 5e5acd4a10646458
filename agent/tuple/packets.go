package tuple

import (
	"errors"
	"net/netip"
	"syscall"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/link"
	"github.com/cyclamendock/cyclamendock/lib/logs"
)

// An exit is one goroutine's way to processes and callers.
type exit struct {
	callers *link.Writer
	node    *Node
	peers   *link.Writer
}

func (n *Node) newExit(callers, peers int) *exit {
	return &exit{callers: link.NewWriterSize(n.outlet, callers), node: n, peers: link.NewWriterSize(n.socket, peers)}
}

// do carries out a verdict about a datagram, which it may change.
func (e *exit) do(now time.Time, verdict *carry.AgentVerdict, datagram []byte) {
	n := e.node
	if verdict.Datagram != nil {
		datagram = verdict.Datagram
	}
	switch verdict.Action {
	case carry.AgentDeliver:
		n.config.Codec.SetEcho(datagram, verdict.Echo)
		if _, err := n.inlet.Write(datagram); err != nil {
			n.refused(now, e, verdict.Echo, datagram, err)
		}
	case carry.AgentMessage:
		n.config.Codec.ClearBounced(datagram)
		n.config.Codec.SetEcho(datagram, 0)
		n.meter.passed.Inc()
		verdict.Forward.Datagram = datagram
		e.peers.Add(verdict.Forward.Append(e.peers.Buffer(), verdict.Kind), verdict.To.AddrPort())
	case carry.AgentOwn:
		owner := carry.Owner{Flow: verdict.Flow}
		e.peers.Add(owner.Append(e.peers.Buffer()), verdict.To.AddrPort())
	case carry.AgentReset:
		e.callers.Add(n.config.Codec.AppendReset(e.callers.Buffer(), verdict.Flow, verdict.Seq), n.caller(verdict.Flow.Caller))
		n.meter.resets.Inc()
		n.logReset(now, verdict)
	}
}

func (e *exit) flush() {
	e.peers.Flush()
	e.callers.Flush()
}

// refused tries the next agent when the backend server's port is closed.
func (n *Node) refused(now time.Time, e *exit, echo uint32, datagram []byte, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		n.logLimited(now, "A packet can't be delivered.", logs.Fields{"error": err.Error()})
		return
	}
	packet, ok := n.config.Codec.Decode(datagram)
	if !ok {
		return
	}
	n.mu.Lock()
	verdict := n.carrier.Refused(now, packet, echo)
	n.mu.Unlock()
	if verdict.Action != carry.AgentDeliver {
		e.do(now, &verdict, datagram)
	}
}

func (n *Node) caller(endpoint carry.Endpoint) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(endpoint.IP), n.config.CallerPort)
}

// runSocket handles messages of other processes until the socket closes.
func (n *Node) runSocket() {
	reader := link.NewReaderSize(n.socket, readBatch)
	out := n.newExit(timerBatch, writeBatch)
	for {
		count, err := reader.Read()
		if err != nil {
			n.logClosed("processes", err)
			return
		}
		now := time.Now()
		for i := range count {
			n.handle(now, out, reader.Datagram(i), reader.From(i))
		}
		out.flush()
	}
}

func (n *Node) handle(now time.Time, out *exit, message []byte, from netip.AddrPort) {
	if !n.config.Trust.Allows(from.Addr()) {
		n.logLimited(now, "Ignored a message of an untrusted address.", logs.Fields{"from": from.String()})
		return
	}
	switch carry.KindOf(message) {
	case carry.KindForward:
		n.handleForward(now, out, message)
	case carry.KindHello:
		n.mu.Lock()
		n.carrier.Greeted(now, carry.EndpointOf(from))
		report := n.carrier.Report(now)
		n.mu.Unlock()
		out.peers.Add(report.Append(out.peers.Buffer()), from)
	case carry.KindJoin:
		n.joinSoon()
	default:
		n.logLimited(now, "Ignored an unknown message.", logs.Fields{"from": from.String()})
	}
}

func (n *Node) handleForward(now time.Time, out *exit, message []byte) {
	var f carry.Forward
	if !f.Decode(message) {
		n.logLimited(now, "Ignored a malformed message.", nil)
		return
	}
	packet, ok := n.config.Codec.Decode(f.Datagram)
	if !ok {
		n.logLimited(now, "Ignored a malformed packet.", nil)
		return
	}
	n.mu.Lock()
	verdict := n.carrier.Forwarded(now, &f, packet)
	n.mu.Unlock()
	out.do(now, &verdict, f.Datagram)
}

// runOutlet carries the backend server's packets to callers until the socket closes.
func (n *Node) runOutlet() {
	reader := link.NewReaderSize(n.outlet, readBatch)
	out := n.newExit(writeBatch, timerBatch)
	for {
		count, err := reader.Read()
		if err != nil {
			n.logClosed("the backend server", err)
			return
		}
		now := time.Now()
		for i := range count {
			n.handleServer(now, out, reader.Datagram(i), reader.From(i))
		}
		out.flush()
	}
}

func (n *Node) handleServer(now time.Time, out *exit, datagram []byte, from netip.AddrPort) {
	packet, ok := n.config.Codec.Decode(datagram)
	if !ok {
		n.logLimited(now, "Ignored a malformed packet.", logs.Fields{"from": from.String()})
		return
	}
	if packet.Flags.Has(carry.FlagBounced) {
		n.mu.Lock()
		verdict := n.carrier.Bounced(now, packet)
		n.mu.Unlock()
		out.do(now, &verdict, datagram)
		return
	}
	n.mu.Lock()
	balancer, tell := n.carrier.FromServer(now, packet)
	released := n.carrier.Release(now)
	n.mu.Unlock()
	out.callers.Add(append(out.callers.Buffer(), datagram...), n.caller(packet.Destination))
	if tell {
		owner := carry.Owner{Flow: packet.FromServer()}
		out.peers.Add(owner.Append(out.peers.Buffer()), balancer.AddrPort())
	}
	for i := range released {
		out.do(now, &released[i], nil)
	}
}

// runInlet waits for errors of the backend server's port, which sends nothing here.
func (n *Node) runInlet() {
	buffer := make([]byte, link.MaxDatagram)
	for n.ctx.Err() == nil {
		if _, err := n.inlet.Read(buffer); err != nil && n.ctx.Err() == nil {
			n.logLimited(time.Now(), "The backend server's port is closed.", logs.Fields{"error": err.Error()})
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
	if suppressed > 0 {
		if fields == nil {
			fields = logs.Fields{}
		}
		fields["suppressed"] = suppressed
	}
	n.config.Log.Info(text, fields)
}

func (n *Node) logClosed(what string, err error) {
	if n.ctx.Err() == nil {
		n.config.Log.Error("The socket for "+what+" has failed.", err, nil)
	}
}
