package tuple

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/netio"
)

// sendQueries asks all other balancers about agents that this one doesn't hear.
func (n *Node) sendQueries(queries []flows.Query) {
	if len(queries) == 0 {
		return
	}
	balancers := n.allPeers()
	for _, query := range queries {
		n.meter.queries.Inc()
		message := query.Append(nil)
		for _, balancer := range balancers {
			n.socket.Send(message, balancer)
		}
	}
}

// handleQuery answers which agents this balancer hears, and asks those for reports that it has not heard lately. It returns false
// for a malformed message.
func (n *Node) handleQuery(now time.Time, out *netio.Sender, message []byte, sender flows.Endpoint) bool {
	var query flows.Query
	if !query.Decode(message) {
		return false
	}
	n.mu.Lock()
	heard, unsure := n.director.HandleQuery(now, query)
	n.mu.Unlock()
	if len(heard.Agents) > 0 {
		out.QueueMessage(heard.Append, sender)
	}
	hello := flows.Hello{Era: n.guard.Era()}
	for _, agent := range unsure {
		out.QueueMessage(hello.Append, agent)
	}
	return true
}

// handleHeard records which agents another balancer hears. It returns false for a malformed message.
func (n *Node) handleHeard(now time.Time, message []byte, sender flows.Endpoint) bool {
	var heard flows.Heard
	if !heard.Decode(message) {
		return false
	}
	n.mu.Lock()
	n.director.RecordHeard(heard, sender)
	n.mu.Unlock()
	if suppressed, ok := n.meter.agentLimiter.Allow(now); ok {
		n.config.Log.Info("Another balancer hears silent agents.", logs.Fields{
			"agents":     len(heard.Agents),
			"balancer":   sender.String(),
			"suppressed": suppressed,
		})
	}
	return true
}

// handleRelay handles a packet that another balancer can't deliver. It returns false for a malformed message.
func (n *Node) handleRelay(now time.Time, out *netio.Sender, message []byte) bool {
	var relay flows.Relay
	if !relay.Decode(message) {
		return false
	}
	packet, ok := n.config.Codec.Decode(relay.Datagram)
	if !ok {
		return false
	}
	packet.Relayed = true
	n.meter.relayed.Inc()
	n.mu.Lock()
	verdict := n.director.HandlePacket(now, packet, relay.Datagram)
	n.mu.Unlock()
	n.execute(now, out, &verdict, relay.Datagram)
	return true
}
