package tuple

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/netio"
)

// execute carries out a verdict about a datagram.
func (n *Node) execute(now time.Time, out *netio.Sender, verdict *flows.Verdict, datagram []byte) {
	switch verdict.Action {
	case flows.ActForward:
		verdict.Forward.Datagram = datagram
		verdict.Forward.Era = n.guard.Era()
		verdict.Send(func(forward *flows.Forward, agent flows.Endpoint) {
			out.QueueForward(forward, flows.KindForward, agent)
		})
		n.meter.forwarded.Inc()
		if verdict.IsOpening {
			n.logPlacement(now, verdict)
		}
		return
	case flows.ActRelay:
		out.QueueMessage(flows.Relay{Datagram: datagram}.Append, verdict.RelayTo)
	case flows.ActReset:
		out.QueueReset(verdict.Flow, verdict.Seq)
	case flows.ActRefreshMembers:
		n.requestMemberCheck()
	}
	n.logNotForwarded(now, verdict)
}

// newSender returns a sender for one goroutine that queues up to batch messages.
func (n *Node) newSender(batch int) *netio.Sender {
	return netio.NewSender(netio.SenderConfig{
		CallerBatch:  timerBatch,
		CallerPort:   n.config.CallerPort,
		CallerSocket: n.front,
		Codec:        n.config.Codec,
		PeerBatch:    batch,
		PeerSocket:   n.socket,
	})
}

// runFront forwards callers' packets until the socket closes.
func (n *Node) runFront() {
	receiver := netio.Receiver{Batch: frontBatch, Handle: n.handleCallerPacket, Sender: n.newSender(frontBatch), Socket: n.front}
	n.logSocketError("callers", receiver.Loop())
}

// runPeers handles messages of agents and balancers until the socket closes.
func (n *Node) runPeers() {
	receiver := netio.Receiver{Batch: peerBatch, Handle: n.handleMessage, Sender: n.newSender(peerBatch), Socket: n.socket}
	n.logSocketError("processes", receiver.Loop())
}

func (n *Node) handleCallerPacket(now time.Time, out *netio.Sender, datagram []byte, from netip.AddrPort) {
	packet, ok := n.config.Codec.Decode(datagram)
	if !ok {
		n.config.Ignored.Record(now, netio.InputCallerPacket, from.String(), "malformed packet")
		return
	}
	n.mu.Lock()
	verdict := n.director.HandlePacket(now, packet, datagram)
	n.mu.Unlock()
	n.execute(now, out, &verdict, datagram)
}

func (n *Node) handleMessage(now time.Time, out *netio.Sender, message []byte, from netip.AddrPort) {
	if !n.config.Trust.Allows(from.Addr()) {
		n.config.Ignored.Record(now, netio.InputUntrusted, from.String(), "the address is not trusted")
		return
	}
	sender := flows.EndpointOf(from)
	valid := true
	switch flows.KindOf(message) {
	case flows.KindReturn:
		valid = n.handleReturn(now, out, message)
	case flows.KindOwner:
		valid = n.handleOwner(now, message, sender)
	case flows.KindReport:
		valid = n.handleReport(now, message, sender)
	case flows.KindDigest:
		valid = n.handleDigest(now, message, from)
	case flows.KindQuery:
		valid = n.handleQuery(now, out, message, sender)
	case flows.KindHeard:
		valid = n.handleHeard(now, message, sender)
	case flows.KindRelay:
		valid = n.handleRelay(now, out, message)
	default:
		valid = false
	}
	if !valid {
		n.config.Ignored.Record(now, netio.InputMessage, from.String(), "unknown or malformed message")
	}
}

func (n *Node) handleReturn(now time.Time, out *netio.Sender, message []byte) bool {
	var f flows.Forward
	if !f.Decode(message) {
		return false
	}
	packet, ok := n.config.Codec.Decode(f.Datagram)
	if !ok {
		return false
	}
	n.mu.Lock()
	verdict := n.director.HandleReturn(now, &f, packet)
	n.mu.Unlock()
	n.execute(now, out, &verdict, f.Datagram)
	return true
}

func (n *Node) handleOwner(now time.Time, message []byte, sender flows.Endpoint) bool {
	var owner flows.Owner
	if !owner.Decode(message) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.director.RecordOwner(now, owner.Flow, sender)
	return true
}

func (n *Node) handleReport(now time.Time, message []byte, sender flows.Endpoint) bool {
	var report flows.Report
	if !report.Decode(message) {
		return false
	}
	n.mu.Lock()
	mustJoin := n.director.Agents.MustJoin(sender, report)
	met := n.director.Agents.HasReported(sender)
	changed := n.director.RecordReport(now, sender, report)
	if changed && !met {
		n.newAgents.record(report)
	}
	notice, due := n.director.Agents.ZonesNotice(now, sender)
	n.mu.Unlock()
	n.sendLimits(now)
	if due {
		n.socket.Send(notice.Zones.Append(nil), sender.AddrPort())
	}
	if mustJoin {
		n.socket.Send(flows.Join{}.Append(nil), sender.AddrPort())
	}
	if changed && met {
		n.logAgentChange(now, sender, report)
	}
	return true
}

// sendLimits sends the limits of their service to the agents that don't know them or had others.
func (n *Node) sendLimits(now time.Time) {
	n.mu.Lock()
	messages := n.director.TakeLimits(now)
	n.mu.Unlock()
	for _, message := range messages {
		n.socket.Send(message.Limits.Append(nil), message.Agent.AddrPort())
	}
}

func (n *Node) logSocketError(senders string, err error) {
	if n.ctx.Err() == nil {
		n.config.Log.Error("The socket for "+senders+" has failed.", err, nil)
	}
}

func (n *Node) version() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.director.Version()
}
