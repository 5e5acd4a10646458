package peer

// Methods that balancers serve.
const (
	MethodBalancers = "Fleet.Balancers"
	MethodConfig    = "Fleet.Config"
	MethodExchange  = "Fleet.Exchange"
	MethodPush      = "Fleet.Push"
	MethodStatus    = "Fleet.Status"
)

// MethodRun is the method that agents serve: it runs the request of a ticket at the agent that issued it.
const MethodRun = "Agent.Run"

// Empty is the arguments or the reply of a method that needs none.
type Empty struct{}

// Records contains encoded membership records.
type Records struct{ Encoded []byte }

// ExchangeArgs contains the digests of the calling balancer's buckets of records.
type ExchangeArgs struct{ Buckets []uint64 }

// ExchangeReply contains the called balancer's digests and its records in the buckets that differ.
type ExchangeReply struct {
	Buckets []uint64
	Encoded []byte
}

// ConfigArgs contains the configuration version of the calling process.
type ConfigArgs struct{ Since uint64 }

// ConfigReply contains the encoded entries after the version ConfigArgs.Since, or the encoded complete configuration.
type ConfigReply struct {
	Entries []byte
	Whole   []byte
}

// MemberStatus is the state of one member as one balancer sees it.
type MemberStatus struct {
	Address     string
	Config      uint64 // version of the configuration in force at the member
	Flows       uint32
	Heard       bool // the balancer receives the member's heartbeats or is the member itself
	Incarnation uint64
	Load        uint32 // parts per million of capacity
	Name        string
	Role        string
	Service     string
	SilentMS    int64  // milliseconds since the last heartbeat
	Speed       uint32 // of the backend server, in per mille of its typical speed
	State       string
	Zone        string
}

// StatusArgs selects whether the reply includes the members that only other balancers monitor.
type StatusArgs struct{ All bool }

// StatusReply is the state of the fleet as one balancer sees it.
type StatusReply struct {
	Config      uint64 // version of the configuration in force at the balancer
	Members     []MemberStatus
	Name        string
	PlatformOK  bool
	PlatformFor int64 // milliseconds since the platform's last answer
	Zone        string
}

// RunArgs contains a caller's request, to be run by the issuer of its ticket.
type RunArgs struct {
	Body       []byte
	DeadlineMS int64 // milliseconds until the request's deadline
	Header     map[string][]string
	Method     string
	Path       string
	Ticket     string
}

// RunReply contains the answer to a caller's request.
type RunReply struct {
	Body    []byte
	Outcome int
	Reason  string
	Status  int
	Type    string
}
