package wire

// Kind is the type of a datagram between processes, which is its first byte.
type Kind byte

const (
	// KindAnnounce carries a member's complete record to a monitor.
	KindAnnounce Kind = iota + 1
	// KindForward carries a caller's datagram to an agent.
	KindForward
	// KindHeartbeat renews a member's lease.
	KindHeartbeat
	// KindProbe carries a balancer's configuration version and membership digest to another balancer.
	KindProbe
	// KindReply answers a heartbeat.
	KindReply
	// KindReturn carries an agent's datagram to a balancer, which sends it to the caller.
	KindReturn
	// KindGossip carries changed records between balancers.
	KindGossip
	// KindVote reports to another monitor that a member has missed its heartbeats.
	KindVote
)

// KindOf returns the kind of a datagram, or zero when the datagram is empty.
func KindOf(datagram []byte) Kind {
	if len(datagram) == 0 {
		return 0
	}
	return Kind(datagram[0])
}
