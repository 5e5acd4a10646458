package wire

// A Kind is the first byte of every datagram between processes.
type Kind byte

const (
	// KindAnnounce carries a member's whole record to a keeper.
	KindAnnounce Kind = iota + 1
	// KindForward carries a caller's datagram towards an agent.
	KindForward
	// KindHeartbeat renews a member's lease.
	KindHeartbeat
	// KindProbe carries the digests of one balancer to another.
	KindProbe
	// KindReply answers a heartbeat.
	KindReply
	// KindReturn carries an agent's datagram back to a caller.
	KindReturn
	// KindRumor carries changed records from balancer to balancer.
	KindRumor
	// KindVote tells a fellow keeper that a member has missed its heartbeats.
	KindVote
)

// KindOf returns the kind of a datagram, or zero when it is empty.
func KindOf(datagram []byte) Kind {
	if len(datagram) == 0 {
		return 0
	}
	return Kind(datagram[0])
}
