package member

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/netio"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

const (
	// Prefix is the start of the keys of all members.
	Prefix = "cyclamendock-members/"
	// checksPerSecond limits the checks of entries by all members after the store has lost changes.
	checksPerSecond = 2000
)

// Role tells whether a member is an agent or a balancer.
type Role string

// The roles of members.
const (
	RoleAgent    Role = "agent"
	RoleBalancer Role = "balancer"
)

// Member is the entry of one process in the store.
type Member struct {
	Address netip.AddrPort // for messages between processes
	Role    Role
}

// Config configures a Directory.
type Config struct {
	Ignored *netio.IgnoredInputs // counts and logs entries that can't be decoded
	Self    Member
	Store   store.Store
}

// CheckPause returns a random pause before a member checks its entry, so that the given number of members together stay
// within what the store can read.
func CheckPause(members int) time.Duration {
	return time.Duration(rand.Float64() * float64(members) / checksPerSecond * float64(time.Second))
}

// Directory registers one process in the store and lists all members.
type Directory struct {
	config Config
}

// NewDirectory returns the directory of a process that is not registered yet.
func NewDirectory(config Config) *Directory { return &Directory{config: config} }

// Join registers the process if it is not listed, and returns all members, read afterwards so that of two processes
// that join at once at least one sees the other. With first set it registers the process without listing members before.
func (d *Directory) Join(ctx context.Context, first bool) ([]Member, error) {
	if first {
		if err := d.Register(ctx); err != nil {
			return nil, err
		}
		return d.List(ctx)
	}
	members, err := d.List(ctx)
	if err != nil || contains(members, d.config.Self) {
		return members, err
	}
	if err := d.Register(ctx); err != nil {
		return nil, err
	}
	return d.List(ctx)
}

// List returns all members, or an Unavailable fault.
func (d *Directory) List(ctx context.Context) ([]Member, error) {
	objects, err := d.config.Store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	var members []Member
	for _, object := range objects {
		member, ok := decode(object.Value)
		if !ok {
			d.config.Ignored.Record(time.Now(), netio.InputMember, object.Key, "the entry is not a valid member")
			continue
		}
		members = append(members, member)
	}
	return members, nil
}

// ContainsSelf reports whether members contains the process.
func (d *Directory) ContainsSelf(members []Member) bool { return contains(members, d.config.Self) }

// Leave removes the process from the members.
func (d *Directory) Leave(ctx context.Context) error { return d.Remove(ctx, d.config.Self.Address) }

// Remove removes the member with the given address.
func (d *Directory) Remove(ctx context.Context, address netip.AddrPort) error {
	return d.config.Store.Delete(ctx, key(address))
}

// HasEntry reports whether the store has the entry of the process, or returns an Unavailable fault.
func (d *Directory) HasEntry(ctx context.Context) (bool, error) {
	object, err := d.config.Store.Get(ctx, key(d.config.Self.Address))
	if fault.Is(err, fault.Missing) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	existing, ok := decode(object.Value)
	return ok && existing == d.config.Self, nil
}

// Register stores the entry of the process, replacing an older entry with the same address, or returns an Unavailable fault.
func (d *Directory) Register(ctx context.Context) error {
	value, err := json.Marshal(storedMember{Address: d.config.Self.Address.String(), Role: string(d.config.Self.Role)})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the member can't be encoded", "report this")
	}
	_, err = d.config.Store.Put(ctx, key(d.config.Self.Address), value, store.Version{})
	if !fault.Is(err, fault.Stale) {
		return err
	}
	object, err := d.config.Store.Get(ctx, key(d.config.Self.Address))
	if err != nil {
		return err
	}
	if existing, ok := decode(object.Value); ok && existing == d.config.Self {
		return nil
	}
	_, err = d.config.Store.Put(ctx, key(d.config.Self.Address), value, object.Version)
	return err
}

// storedMember is the JSON form of a member in the store.
type storedMember struct {
	Address string `json:"address"`
	Role    string `json:"role"`
}

// decode decodes a stored member and reports whether it is valid.
func decode(value []byte) (Member, bool) {
	var stored storedMember
	if err := json.Unmarshal(value, &stored); err != nil {
		return Member{}, false
	}
	address, err := netip.ParseAddrPort(stored.Address)
	role := Role(stored.Role)
	if err != nil || role != RoleAgent && role != RoleBalancer {
		return Member{}, false
	}
	return Member{Address: address, Role: role}, true
}

// key returns the store key of the member with the given address.
func key(address netip.AddrPort) string {
	return Prefix + store.AddressName(address)
}

func contains(members []Member, wanted Member) bool {
	for _, member := range members {
		if member == wanted {
			return true
		}
	}
	return false
}
