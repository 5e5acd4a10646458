package member

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/port"
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

// A Config holds what a Directory needs.
type Config struct {
	Ignored *port.Ignored // takes note of entries that are no members
	Self    Member
	Store   store.Store
}

// A Directory registers one process and lists all.
type Directory struct {
	config Config
}

// NewDirectory returns the directory of a process that is not registered yet.
func NewDirectory(config Config) *Directory { return &Directory{config: config} }

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
	if err != nil || contains(members, d.config.Self) {
		return members, err
	}
	if err := d.register(ctx); err != nil {
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
			d.config.Ignored.Note(time.Now(), port.InputMember, object.Key, "the entry is no member")
			continue
		}
		members = append(members, member)
	}
	return members, nil
}

// Lists reports whether the process is among members.
func (d *Directory) Lists(members []Member) bool { return contains(members, d.config.Self) }

// Leave removes the process for good.
func (d *Directory) Leave(ctx context.Context) error { return d.Remove(ctx, d.config.Self.Address) }

// Remove removes the member at an address for good.
func (d *Directory) Remove(ctx context.Context, address netip.AddrPort) error {
	return d.config.Store.Delete(ctx, key(address))
}

// register writes the process; an older entry of the same address is replaced.
func (d *Directory) register(ctx context.Context) error {
	value, err := json.Marshal(encoded{Address: d.config.Self.Address.String(), Role: string(d.config.Self.Role)})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "a member can't be encoded", "report this")
	}
	_, err = d.config.Store.Put(ctx, key(d.config.Self.Address), value, 0)
	if !fault.Is(err, fault.Stale) {
		return err
	}
	object, err := d.config.Store.Get(ctx, key(d.config.Self.Address))
	if err != nil {
		return err
	}
	if known, ok := decode(object.Value); ok && known == d.config.Self {
		return nil
	}
	_, err = d.config.Store.Put(ctx, key(d.config.Self.Address), value, object.Version)
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
