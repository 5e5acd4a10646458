package tuple

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/port"
)

// apply carries out the verdict on a datagram.
func (n *Node) apply(now time.Time, out *port.Sender, verdict *carry.Verdict, datagram []byte) {
	switch verdict.Action {
	case carry.ActForward:
		verdict.Forward.Datagram = datagram
		for _, agent := range verdict.To {
			out.QueueForward(&verdict.Forward, carry.KindForward, agent)
		}
		n.meter.carried.Inc()
		if verdict.IsOpening {
			n.logPlacement(now, verdict)
		}
		return
	case carry.ActReset:
		out.QueueReset(verdict.Flow, verdict.Seq)
	case carry.ActRefreshMembers:
		n.requestMemberCheck()
	}
	n.logNotCarried(now, verdict)
}

// newSender returns an outlet for one goroutine that queues up to batch messages.
func (n *Node) newSender(batch int) *port.Sender {
	return port.NewSender(port.SenderConfig{
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
	inlet := port.Receiver{Batch: frontBatch, Handle: n.handleCallerPacket, Sender: n.newSender(frontBatch), Socket: n.front}
	n.logSocketError("callers", inlet.Loop())
}

// runPeers handles messages of agents and balancers until the socket closes.
func (n *Node) runPeers() {
	inlet := port.Receiver{Batch: peerBatch, Handle: n.handleMessage, Sender: n.newSender(peerBatch), Socket: n.socket}
	n.logSocketError("processes", inlet.Loop())
}

func (n *Node) handleCallerPacket(now time.Time, out *port.Sender, datagram []byte, from netip.AddrPort) {
	packet, ok := n.config.Codec.Decode(datagram)
	if !ok {
		n.config.Ignored.Record(now, port.InputCallerPacket, from.String(), "malformed packet")
		return
	}
	n.mu.Lock()
	verdict := n.director.HandlePacket(now, packet, datagram)
	n.mu.Unlock()
	n.apply(now, out, &verdict, datagram)
}

func (n *Node) handleMessage(now time.Time, out *port.Sender, message []byte, from netip.AddrPort) {
	if !n.config.Trust.Allows(from.Addr()) {
		n.config.Ignored.Record(now, port.InputUntrusted, from.String(), "the address is not trusted")
		return
	}
	sender := carry.EndpointOf(from)
	valid := true
	switch carry.KindOf(message) {
	case carry.KindReturn:
		valid = n.handleReturn(now, out, message)
	case carry.KindOwner:
		valid = n.handleOwner(now, message, sender)
	case carry.KindReport:
		valid = n.handleReport(now, message, sender)
	case carry.KindDigest:
		valid = n.handleDigest(now, message, from)
	default:
		valid = false
	}
	if !valid {
		n.config.Ignored.Record(now, port.InputMessage, from.String(), "unknown or malformed message")
	}
}

func (n *Node) handleReturn(now time.Time, out *port.Sender, message []byte) bool {
	var f carry.Forward
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
	n.apply(now, out, &verdict, f.Datagram)
	return true
}

func (n *Node) handleOwner(now time.Time, message []byte, sender carry.Endpoint) bool {
	var owner carry.Owner
	if !owner.Decode(message) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.director.RecordOwner(now, owner.Flow, sender)
	return true
}

func (n *Node) handleReport(now time.Time, message []byte, sender carry.Endpoint) bool {
	var report carry.Report
	if !report.Decode(message) {
		return false
	}
	n.mu.Lock()
	returned := n.director.Agents.RecentlyForgotten(now, sender)
	changed := n.director.RecordReport(now, sender, report)
	n.mu.Unlock()
	if returned { // the agent may have been removed from the members while it was silent
		n.socket.Send(carry.AppendJoin(nil), sender.AddrPort())
	}
	if changed {
		n.config.Log.Info("Agent changed.", logs.Fields{
			"agent": sender.String(),
			"busy":  report.Busy,
			"flows": report.Flows,
			"state": report.State.String(),
		})
	}
	return true
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
