package tuple

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/link"
	"github.com/cyclamendock/cyclamendock/lib/logs"
)

// An outlet is one goroutine's way to agents, balancers and callers.
type outlet struct {
	callers *link.Writer
	node    *Node
	peers   *link.Writer
}

func (n *Node) newOutlet(batch int) *outlet {
	return &outlet{
		callers: link.NewWriterSize(n.front, timerBatch),
		node:    n,
		peers:   link.NewWriterSize(n.socket, batch),
	}
}

// do carries out a verdict about a datagram.
func (o *outlet) do(now time.Time, verdict *carry.Verdict, datagram []byte) {
	switch verdict.Action {
	case carry.ActForward:
		verdict.Forward.Datagram = datagram
		for _, agent := range verdict.To {
			o.peers.Add(verdict.Forward.Append(o.peers.Buffer(), carry.KindForward), agent.AddrPort())
		}
		o.node.meter.carried.Inc()
		if verdict.Opens {
			o.node.logPlaced(now, verdict)
		}
		return
	case carry.ActReset:
		caller := netip.AddrPortFrom(netip.AddrFrom4(verdict.Flow.Caller.IP), o.node.config.CallerPort)
		o.callers.Add(o.node.config.Codec.AppendReset(o.callers.Buffer(), verdict.Flow, verdict.Seq), caller)
	case carry.ActProve:
		o.node.askForList()
	}
	o.node.logVerdict(now, verdict)
}

func (o *outlet) flush() {
	o.peers.Flush()
	o.callers.Flush()
}

// runFront carries callers' packets until the socket closes.
func (n *Node) runFront() {
	reader := link.NewReaderSize(n.front, frontBatch)
	out := n.newOutlet(frontBatch)
	for {
		count, err := reader.Read()
		if err != nil {
			n.logClosed("callers", err)
			return
		}
		now := time.Now()
		for i := range count {
			n.carry(now, out, reader.Datagram(i))
		}
		out.flush()
	}
}

func (n *Node) carry(now time.Time, out *outlet, datagram []byte) {
	packet, ok := n.config.Codec.Decode(datagram)
	if !ok {
		n.logMalformed(now, "a caller's packet")
		return
	}
	n.mu.Lock()
	verdict := n.director.Packet(now, packet, datagram)
	n.mu.Unlock()
	out.do(now, &verdict, datagram)
}

// runPeers handles messages of agents and balancers until the socket closes.
func (n *Node) runPeers() {
	reader := link.NewReaderSize(n.socket, peerBatch)
	out := n.newOutlet(peerBatch)
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

func (n *Node) handle(now time.Time, out *outlet, message []byte, from netip.AddrPort) {
	if !n.config.Trust.Allows(from.Addr()) {
		n.logMalformed(now, "a message of an untrusted address")
		return
	}
	sender := carry.EndpointOf(from)
	taken := true
	switch carry.KindOf(message) {
	case carry.KindReturn:
		taken = n.handleReturn(now, out, message)
	case carry.KindOwner:
		taken = n.handleOwner(now, message, sender)
	case carry.KindReport:
		taken = n.handleReport(now, message, sender)
	case carry.KindDigest:
		taken = n.handleDigest(now, message, from)
	default:
		taken = false
	}
	if !taken {
		n.logMalformed(now, "a message of another process")
	}
}

func (n *Node) handleReturn(now time.Time, out *outlet, message []byte) bool {
	var f carry.Forward
	if !f.Decode(message) {
		return false
	}
	packet, ok := n.config.Codec.Decode(f.Datagram)
	if !ok {
		return false
	}
	n.mu.Lock()
	verdict := n.director.Returned(now, &f, packet)
	n.mu.Unlock()
	out.do(now, &verdict, f.Datagram)
	return true
}

func (n *Node) handleOwner(now time.Time, message []byte, sender carry.Endpoint) bool {
	var owner carry.Owner
	if !owner.Decode(message) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.director.Owner(now, owner.Flow, sender)
	return true
}

func (n *Node) handleReport(now time.Time, message []byte, sender carry.Endpoint) bool {
	var report carry.Report
	if !report.Decode(message) {
		return false
	}
	n.mu.Lock()
	changed := n.director.Agents.Report(now, sender, report)
	n.mu.Unlock()
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

func (n *Node) logMalformed(now time.Time, what string) {
	if suppressed, ok := n.meter.drops.Allow(now); ok {
		n.config.Log.Warn("Ignored "+what+".", logs.Fields{"suppressed": suppressed})
	}
}

func (n *Node) logClosed(what string, err error) {
	if n.ctx.Err() == nil {
		n.config.Log.Error("The socket for "+what+" has failed.", err, nil)
	}
}

func (n *Node) version() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.director.Version()
}
