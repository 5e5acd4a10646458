package fleet

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Role distinguishes agents from balancers.
type Role uint8

const (
	// RoleAgent marks the process beside a backend server.
	RoleAgent Role = iota + 1
	// RoleBalancer marks the process that receives and forwards the callers' packets.
	RoleBalancer
)

// String returns the role's name as status output shows it.
func (r Role) String() string {
	if r == RoleBalancer {
		return "balancer"
	}
	return "agent"
}

// State tells whether a member accepts new work.
type State uint8

const (
	// StateAlive marks a member that accepts new work.
	StateAlive State = iota + 1
	// StateDraining marks a member that finishes its current work and accepts no new work.
	StateDraining
	// StateDown marks a member that its monitors have declared down.
	StateDown
)

// String returns the state's name as status output shows it.
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

// Record describes one member and is replicated to all balancers.
type Record struct {
	Address     netip.AddrPort
	BootID      uint64 // random ID of the member's process
	Incarnation uint64 // grows when a member returns under the same name
	Name        string
	Region      string
	Role        Role
	Sequence    uint64 // grows with each change of the record within an incarnation
	Service     string // empty for a balancer
	State       State
	Weight      uint32 // relative share of the new flows
	Zone        string
}

// Newer reports whether r supersedes other, a record of the same name. Within an incarnation, down is final.
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
	return r.BootID > other.BootID
}

// hash covers the name and the fields that decide which of two records is newer.
func (r Record) hash() uint64 {
	var b [25]byte
	binary.BigEndian.PutUint64(b[0:], r.Incarnation)
	binary.BigEndian.PutUint64(b[8:], r.Sequence)
	binary.BigEndian.PutUint64(b[16:], r.BootID)
	b[24] = byte(r.State)
	d := xxhash.New()
	_, _ = d.WriteString(r.Name)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// NameHash returns the hash of a member's name, which identifies the member in heartbeats.
func NameHash(name string) uint64 { return xxhash.Sum64String(name) }

// NameHash returns the hash of the member's name, as heartbeats and rendezvous hashing use it.
func (r Record) NameHash() uint64 { return NameHash(r.Name) }
