package tuple

import (
	"errors"
	"net/netip"
	"syscall"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/netio"
	"github.com/cyclamendock/cyclamendock/lib/udpio"
)

// execute carries out a verdict about a datagram and may modify the datagram.
func (n *Node) execute(now time.Time, out *netio.Sender, verdict *flows.AgentVerdict, datagram []byte) {
	if verdict.Datagram != nil {
		datagram = verdict.Datagram
	}
	switch verdict.Action {
	case flows.AgentDeliver:
		n.config.Codec.SetEcho(datagram, verdict.Echo)
		if _, err := n.inlet.Write(datagram); err != nil {
			n.handleDeliveryError(now, out, verdict.Echo, datagram, err)
		}
	case flows.AgentForwardOrReturn:
		n.meter.forwardedPackets.Inc()
		n.config.Codec.ClearBounced(datagram)
		n.config.Codec.SetEcho(datagram, 0)
		verdict.Forward.Datagram = datagram
		out.QueueForward(&verdict.Forward, verdict.Kind, verdict.To)
	case flows.AgentSendOwner:
		out.QueueMessage(flows.Owner{Flow: verdict.Flow}.Append, verdict.To)
	case flows.AgentReset:
		out.QueueReset(verdict.Flow, verdict.Seq)
		n.meter.flowResets.Inc()
		n.logReset(now, verdict)
	}
}

// newSender returns a sender for one goroutine; callers and peers are the batch sizes in datagrams.
func (n *Node) newSender(callers, peers int) *netio.Sender {
	return netio.NewSender(netio.SenderConfig{
		CallerBatch:  callers,
		CallerPort:   n.config.CallerPort,
		CallerSocket: n.outlet,
		Codec:        n.config.Codec,
		PeerBatch:    peers,
		PeerSocket:   n.socket,
	})
}

// handleDeliveryError applies the dispatcher's verdict on a packet that the backend server's closed port has refused, and
// logs any other error.
func (n *Node) handleDeliveryError(now time.Time, out *netio.Sender, echo uint32, datagram []byte, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		n.logLimited(now, "A packet can't be delivered.", logs.Fields{"error": err.Error()})
		return
	}
	packet, ok := n.config.Codec.Decode(datagram)
	if !ok {
		return
	}
	n.handlePortClosed(now)
	n.mu.Lock()
	verdict := n.dispatcher.HandleRefused(now, packet, echo)
	n.mu.Unlock()
	if verdict.Action != flows.AgentDeliver {
		n.execute(now, out, &verdict, datagram)
	}
}

// runSocket handles messages of balancers and other agents until the socket closes.
func (n *Node) runSocket() {
	receiver := netio.Receiver{Batch: readBatch, Handle: n.handleMessage, Sender: n.newSender(timerBatch, writeBatch), Socket: n.socket}
	n.logSocketError("processes", receiver.Loop())
}

func (n *Node) handleMessage(now time.Time, out *netio.Sender, message []byte, from netip.AddrPort) {
	if !n.config.Trust.Allows(from.Addr()) {
		n.config.Ignored.Record(now, netio.InputUntrusted, from.String(), "the address is not trusted")
		return
	}
	switch flows.KindOf(message) {
	case flows.KindForward:
		n.handleForward(now, out, message, from)
	case flows.KindHello:
		n.handleHello(now, out, message, from)
	case flows.KindJoin:
		var join flows.Join
		join.Decode(message)
		n.requestJoin(join)
	case flows.KindLimits:
		n.handleLimits(now, message, from)
	case flows.KindZones:
		n.handleZones(now, out, message, from)
	default:
		n.config.Ignored.Record(now, netio.InputMessage, from.String(), "unknown kind of message")
	}
}

func (n *Node) handleHello(now time.Time, out *netio.Sender, message []byte, from netip.AddrPort) {
	var hello flows.Hello
	if !hello.Decode(message) {
		n.config.Ignored.Record(now, netio.InputMessage, from.String(), "malformed message")
		return
	}
	n.guard.RecordHeard(now, hello.Era)
	n.mu.Lock()
	n.dispatcher.HandleHello(now, flows.EndpointOf(from))
	report := n.dispatcher.Report(now)
	n.mu.Unlock()
	out.QueueMessage(report.Append, flows.EndpointOf(from))
}

func (n *Node) handleLimits(now time.Time, message []byte, from netip.AddrPort) {
	var limits flows.Limits
	if !limits.Decode(message) {
		n.config.Ignored.Record(now, netio.InputMessage, from.String(), "malformed message")
		return
	}
	n.mu.Lock()
	known := n.dispatcher.LimitsKnown()
	applied := n.dispatcher.SetLimits(limits)
	n.mu.Unlock()
	if applied {
		n.config.Log.Info("Limits applied.", logs.Fields{"coldPerSecond": limits.ColdPerSecond, "flows": limits.MaxFlows, "version": limits.Version})
	}
	if applied && !known {
		n.requestReport() // balancers send limits until they are told that these are known
	}
}

// handleZones records whether this agent's availability zone is evacuated. A change is reported to all balancers at once, and anything
// else only to the sender, which has contradicted an earlier report.
func (n *Node) handleZones(now time.Time, out *netio.Sender, message []byte, from netip.AddrPort) {
	var zones flows.Zones
	if !zones.Decode(message) {
		n.config.Ignored.Record(now, netio.InputMessage, from.String(), "malformed message")
		return
	}
	n.mu.Lock()
	changed := n.dispatcher.SetZone(zones)
	report := n.dispatcher.Report(now)
	n.mu.Unlock()
	if !changed {
		out.QueueMessage(report.Append, flows.EndpointOf(from))
		return
	}
	text := "This agent accepts new flows again."
	if zones.Evacuated {
		text = "This agent accepts no new flows, its availability zone is evacuated."
	}
	n.config.Log.Info(text, logs.Fields{
		"balancer": from.String(),
		"flows":    report.Flows,
		"version":  zones.Version.String(),
		"zone":     n.config.Zone,
	})
	n.requestReport()
}

func (n *Node) handleForward(now time.Time, out *netio.Sender, message []byte, from netip.AddrPort) {
	var f flows.Forward
	if !f.Decode(message) {
		n.config.Ignored.Record(now, netio.InputMessage, from.String(), "malformed message")
		return
	}
	packet, ok := n.config.Codec.Decode(f.Datagram)
	if !ok {
		n.config.Ignored.Record(now, netio.InputMessage, from.String(), "malformed packet in the message")
		return
	}
	n.guard.RecordHeard(now, f.Era)
	n.mu.Lock()
	verdict := n.dispatcher.HandleForward(now, &f, packet)
	n.mu.Unlock()
	n.execute(now, out, &verdict, f.Datagram)
}

// runOutlet forwards the backend server's packets to callers until the socket closes.
func (n *Node) runOutlet() {
	receiver := netio.Receiver{Batch: readBatch, Handle: n.handleServerPacket, Sender: n.newSender(writeBatch, timerBatch), Socket: n.outlet}
	n.logSocketError("the backend server", receiver.Loop())
}

func (n *Node) handleServerPacket(now time.Time, out *netio.Sender, datagram []byte, from netip.AddrPort) {
	packet, ok := n.config.Codec.Decode(datagram)
	if !ok {
		n.config.Ignored.Record(now, netio.InputServerPacket, from.String(), "malformed packet")
		return
	}
	if packet.Flags.Has(flows.FlagBounced) {
		n.mu.Lock()
		verdict := n.dispatcher.HandleBounced(now, packet)
		n.mu.Unlock()
		n.execute(now, out, &verdict, datagram)
		return
	}
	n.mu.Lock()
	balancer, sendOwner := n.dispatcher.HandleServerPacket(now, packet)
	addressAdded := n.dispatcher.TakeAddressAdded()
	released := n.dispatcher.Release(now)
	n.mu.Unlock()
	if addressAdded {
		n.requestReport()
	}
	out.QueueToCaller(datagram, packet.Destination)
	if sendOwner {
		out.QueueMessage(flows.Owner{Flow: packet.ServerFlow()}.Append, balancer)
	}
	for i := range released {
		n.execute(now, out, &released[i], nil)
	}
}

// runInlet reads from the inlet socket only to receive the ICMP errors of a closed port: the backend server sends its
// packets to the outlet.
func (n *Node) runInlet() {
	buffer := make([]byte, udpio.MaxDatagram)
	for n.ctx.Err() == nil {
		if _, err := n.inlet.Read(buffer); errors.Is(err, syscall.ECONNREFUSED) {
			n.handlePortClosed(time.Now())
		} else if err != nil && n.ctx.Err() == nil {
			n.logLimited(time.Now(), "The backend server's port can't be read.", logs.Fields{"error": err.Error()})
		}
	}
}

func (n *Node) logReset(now time.Time, verdict *flows.AgentVerdict) {
	n.logLimited(now, "Flow reset.", logs.Fields{
		"caller":  verdict.Flow.Caller.String(),
		"reason":  string(verdict.Reason),
		"request": verdict.RequestID,
		"route":   verdict.Flow.Service.String(),
	})
}

func (n *Node) logLimited(now time.Time, text string, fields logs.Fields) {
	suppressed, ok := n.packetLimiter.Allow(now)
	if !ok {
		return
	}
	fields["suppressed"] = suppressed
	n.config.Log.Info(text, fields)
}

func (n *Node) logSocketError(what string, err error) {
	if n.ctx.Err() == nil {
		n.config.Log.Error("The socket for "+what+" has failed.", err, nil)
	}
}
