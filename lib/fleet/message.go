package fleet

// Heartbeat renews the lease of a member.
type Heartbeat struct {
	BootID        uint64 // random ID of the member's process
	ConfigVersion uint64 // version of the configuration in force at the member
	Flows         uint32 // number of open flows
	Incarnation   uint64
	Load          uint32 // parts per million of capacity
	NameHash      uint64
	Sequence      uint64 // of the member's own record
	Speed         uint32 // of the backend server, per mille of its typical speed
}

// HeartbeatStatus is a monitor's response to one heartbeat.
type HeartbeatStatus uint8

const (
	// HeartbeatAccepted means that the monitor has renewed the lease.
	HeartbeatAccepted HeartbeatStatus = iota + 1
	// HeartbeatUnknown means that the monitor lacks the member's current record and needs it in full.
	HeartbeatUnknown
	// HeartbeatOutdated means that the incarnation is superseded or down, and that the member must start a new one.
	HeartbeatOutdated
)

// Reply is a monitor's response to a heartbeat.
type Reply struct {
	BalancersDigest uint64 // digest of the records of all balancers that are not down
	ConfigVersion   uint64 // version of the configuration in force at the monitor
	Incarnation     uint64 // latest incarnation of the member that the monitor knows
	MeanLoad        uint32 // mean load of the member's service, in parts per million
	ServiceAgents   uint32 // number of agents of the member's service
	Status          HeartbeatStatus
}

// Probe starts anti-entropy between two balancers that differ in configuration version or membership digest.
type Probe struct {
	ConfigVersion uint64 // version of the configuration in force at the sender
	Digest        uint64 // of the members that are not down
}

// DownVote states that a monitor has missed a member's heartbeats and considers it down.
type DownVote struct {
	Incarnation uint64 // of the member
	Member      string // name of the member
	Monitor     string // name of the monitor that votes
}
