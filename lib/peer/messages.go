package peer

// Names of the calls that balancers answer.
const (
	MethodBalancers = "Fleet.Balancers"
	MethodConfig    = "Fleet.Config"
	MethodExchange  = "Fleet.Exchange"
	MethodPush      = "Fleet.Push"
	MethodStatus    = "Fleet.Status"
)

// MethodRun is the call with which an agent asks a ticket's issuer for its one run.
const MethodRun = "Agent.Run"

// An Empty carries nothing.
type Empty struct{}

// Records carries encoded membership records.
type Records struct{ Encoded []byte }

// An ExchangeArgs carries the digests of the caller's buckets.
type ExchangeArgs struct{ Buckets []uint64 }

// An ExchangeReply carries the callee's digests and its records in the buckets that differ.
type ExchangeReply struct {
	Buckets []uint64
	Encoded []byte
}

// A ConfigArgs names the version that the caller holds.
type ConfigArgs struct{ Since uint64 }

// A ConfigReply carries the entries after that version, or the whole configuration.
type ConfigReply struct {
	Entries []byte
	Whole   []byte
}

// A MemberStatus is what is known about one member.
type MemberStatus struct {
	Address     string
	Config      uint64
	Flows       uint32
	Heard       bool
	Incarnation uint64
	Load        uint32 // parts per million of capacity
	Name        string
	Role        string
	Service     string
	SilentMS    int64
	Speed       uint32 // of the backend server, per mille of its typical one
	State       string
	Zone        string
}

// A StatusArgs says whether members that the balancer does not keep are wanted too.
type StatusArgs struct{ All bool }

// A StatusReply is one balancer's view of the fleet.
type StatusReply struct {
	Config      uint64
	Members     []MemberStatus
	Name        string
	PlatformOK  bool
	PlatformFor int64 // milliseconds since the platform's last answer
	Zone        string
}

// A RunArgs carries a request to the issuer of its ticket.
type RunArgs struct {
	Body       []byte
	DeadlineMS int64 // from now
	Header     map[string][]string
	Method     string
	Path       string
	Ticket     string
}

// A RunReply carries the answer to a request.
type RunReply struct {
	Body    []byte
	Outcome int
	Reason  string
	Status  int
	Type    string
}
