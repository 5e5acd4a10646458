package fleet

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// A Role tells what a member does.
type Role uint8

const (
	// RoleAgent is the process beside a backend server.
	RoleAgent Role = iota + 1
	// RoleBalancer is the process on an entry host.
	RoleBalancer
)

// String returns the role's name as it appears in status.
func (r Role) String() string {
	if r == RoleBalancer {
		return "balancer"
	}
	return "agent"
}

// A State tells whether a member takes new work.
type State uint8

const (
	// StateAlive is a member that takes new work.
	StateAlive State = iota + 1
	// StateDraining is a member that only finishes what it has.
	StateDraining
	// StateDown is a member whose lease has ended.
	StateDown
)

// String returns the state's name as it appears in status.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateDraining:
		return "draining"
	default:
		return "down"
	}
}

// A Record is what every replica knows about one member.
type Record struct {
	Address     netip.AddrPort
	Boot        uint64 // drawn at random by each process
	Incarnation uint64 // grows with each lease of the same name
	Name        string
	Region      string
	Role        Role
	Sequence    uint64 // grows with each change within an incarnation
	Service     string // empty for a balancer
	State       State
	Weight      uint32
	Zone        string
}

// Newer reports whether r replaces other, which must have the same name.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if (r.State == StateDown) != (other.State == StateDown) {
		return r.State == StateDown
	}
	if r.Sequence != other.Sequence {
		return r.Sequence > other.Sequence
	}
	return r.Boot > other.Boot
}

// hash covers what distinguishes two versions of a record.
func (r Record) hash() uint64 {
	var b [25]byte
	binary.BigEndian.PutUint64(b[0:], r.Incarnation)
	binary.BigEndian.PutUint64(b[8:], r.Sequence)
	binary.BigEndian.PutUint64(b[16:], r.Boot)
	b[24] = byte(r.State)
	d := xxhash.New()
	_, _ = d.WriteString(r.Name)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// NameHash identifies a member in heartbeats.
func NameHash(name string) uint64 { return xxhash.Sum64String(name) }

// NameHash identifies the member in heartbeats and among balancers.
func (r Record) NameHash() uint64 { return NameHash(r.Name) }
