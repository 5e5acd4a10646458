package member

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

// Prefix is the start of the keys of all members.
const Prefix = "cyclamendock-members/"

// A Role is what a member does.
type Role string

// The roles of members.
const (
	RoleAgent    Role = "agent"
	RoleBalancer Role = "balancer"
)

// A Member is one process.
type Member struct {
	Address netip.AddrPort // for messages between processes
	Role    Role
}

// A Directory registers one process and lists all.
type Directory struct {
	self  Member
	store store.Store
}

// NewDirectory returns the directory of a process that is not registered yet.
func NewDirectory(store store.Store, self Member) *Directory {
	return &Directory{self: self, store: store}
}

// Join registers the process and returns all members as they were afterwards, so that of two processes that
// join at once at least one sees the other. A process that was never registered is written first.
func (d *Directory) Join(ctx context.Context, first bool) ([]Member, error) {
	if first {
		if err := d.register(ctx); err != nil {
			return nil, err
		}
		return d.List(ctx)
	}
	members, err := d.List(ctx)
	if err != nil || contains(members, d.self) {
		return members, err
	}
	if err := d.register(ctx); err != nil {
		return nil, err
	}
	return d.List(ctx)
}

// List returns all members, or an Unavailable fault.
func (d *Directory) List(ctx context.Context) ([]Member, error) {
	objects, err := d.store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	var members []Member
	for _, object := range objects {
		if member, ok := decode(object.Value); ok {
			members = append(members, member)
		}
	}
	return members, nil
}

// Leave removes the process for good.
func (d *Directory) Leave(ctx context.Context) error { return d.Remove(ctx, d.self.Address) }

// Remove removes the member at an address for good.
func (d *Directory) Remove(ctx context.Context, address netip.AddrPort) error {
	return d.store.Delete(ctx, key(address))
}

// register writes the process; an older entry of the same address is replaced.
func (d *Directory) register(ctx context.Context) error {
	value, err := json.Marshal(encoded{Address: d.self.Address.String(), Role: string(d.self.Role)})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "a member can't be encoded", "report this")
	}
	_, err = d.store.Put(ctx, key(d.self.Address), value, 0)
	if !fault.Is(err, fault.Stale) {
		return err
	}
	object, err := d.store.Get(ctx, key(d.self.Address))
	if err != nil {
		return err
	}
	if known, ok := decode(object.Value); ok && known == d.self {
		return nil
	}
	_, err = d.store.Put(ctx, key(d.self.Address), value, object.Version)
	return err
}

// An encoded member is the JSON that is kept.
type encoded struct {
	Address string `json:"address"`
	Role    string `json:"role"`
}

func decode(value []byte) (Member, bool) {
	var e encoded
	if err := json.Unmarshal(value, &e); err != nil {
		return Member{}, false
	}
	address, err := netip.ParseAddrPort(e.Address)
	role := Role(e.Role)
	if err != nil || role != RoleAgent && role != RoleBalancer {
		return Member{}, false
	}
	return Member{Address: address, Role: role}, true
}

func key(address netip.AddrPort) string {
	return Prefix + strings.NewReplacer(".", "-", ":", "-").Replace(address.String())
}

func contains(members []Member, self Member) bool {
	for _, member := range members {
		if member == self {
			return true
		}
	}
	return false
}
