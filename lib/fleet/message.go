package fleet

// A Heartbeat renews the lease of a member.
type Heartbeat struct {
	Config      uint64 // version in force at the member
	Flows       uint32 // open
	Incarnation uint64
	Load        uint32 // parts per million of capacity
	NameHash    uint64
	Sequence    uint64
	Speed       uint32 // of the backend server, per mille of its typical one
	Boot        uint64
}

// A Standing tells a member how its keeper sees it.
type Standing uint8

const (
	// StandingGood means that the lease is renewed.
	StandingGood Standing = iota + 1
	// StandingUnknown means that the keeper needs the member's whole record.
	StandingUnknown
	// StandingOld means that the member must start a new incarnation.
	StandingOld
)

// A Reply answers a heartbeat.
type Reply struct {
	Balancers   uint64 // digest of the balancers' records
	Config      uint64 // newest version known to the keeper
	Incarnation uint64 // latest known one of the member
	Mean        uint32 // load of the member's service, in parts per million
	Members     uint32 // agents of the member's service
	Standing    Standing
}

// A Probe lets a replica see whether another one knows more.
type Probe struct {
	Config uint64
	Digest uint64
}

// A Vote says that a keeper has missed a member's heartbeats.
type Vote struct {
	Incarnation uint64
	Keeper      string
	Member      string
}
