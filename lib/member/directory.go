package member

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/netio"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

const (
	// Prefix is the start of the keys of all members.
	Prefix = "cyclamendock-members/"
	// markerName is the name of the object that states in which era of the store the list is complete.
	markerName = "complete"
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

// List holds the members that the store lists.
type List struct {
	Complete bool // every process that has been a member for a while is on the list; see Directory.MarkComplete
	Members  []Member
}

// Config configures a Directory.
type Config struct {
	Ignored *netio.IgnoredInputs // counts and logs entries that can't be decoded
	Self    Member
	Store   store.Store
}

// Directory registers one process in the store and lists all members.
type Directory struct {
	config Config
}

// NewDirectory returns the directory of a process that is not registered yet.
func NewDirectory(config Config) *Directory { return &Directory{config: config} }

// Join registers the process if it is not listed, and returns all members, read afterwards so that of two processes
// that join at once at least one sees the other. With first set it registers the process without listing members before.
func (d *Directory) Join(ctx context.Context, first bool) (List, error) {
	if !first {
		list, err := d.List(ctx)
		if err != nil || d.ContainsSelf(list) {
			return list, err
		}
	}
	if err := d.Register(ctx); err != nil {
		return List{}, err
	}
	return d.List(ctx)
}

// List returns all members, or an Unavailable fault.
func (d *Directory) List(ctx context.Context) (List, error) {
	objects, err := d.config.Store.List(ctx, Prefix)
	if err != nil {
		return List{}, err
	}
	var list List
	for _, object := range objects {
		if object.Key == Prefix+markerName {
			list.Complete = marksEra(object)
			continue
		}
		member, ok := decode(object.Value)
		if !ok {
			d.config.Ignored.Record(time.Now(), netio.InputMember, object.Key, "the entry is not a valid member")
			continue
		}
		list.Members = append(list.Members, member)
	}
	return list, nil
}

// MarkComplete states in the store that the list is complete in the given era: every process has had time to register again
// since the store lost changes. The statement is lost with the next era.
func (d *Directory) MarkComplete(ctx context.Context, era uint64) error {
	value, err := json.Marshal(storedMarker{Era: era})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the marker can't be encoded", "report this")
	}
	return d.replace(ctx, Prefix+markerName, value, marksEra)
}

// ContainsSelf reports whether a list contains the process.
func (d *Directory) ContainsSelf(list List) bool { return slices.Contains(list.Members, d.config.Self) }

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
	return d.isOwnEntry(object), nil
}

// Register stores the entry of the process, replacing an older entry with the same address, or returns an Unavailable fault.
func (d *Directory) Register(ctx context.Context) error {
	value, err := json.Marshal(storedMember{Address: d.config.Self.Address.String(), Role: string(d.config.Self.Role)})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the member can't be encoded", "report this")
	}
	return d.replace(ctx, key(d.config.Self.Address), value, d.isOwnEntry)
}

// replace creates an object, or replaces an existing one that is not up to date.
func (d *Directory) replace(ctx context.Context, key string, value []byte, isCurrent func(store.Object) bool) error {
	_, err := d.config.Store.Put(ctx, key, value, store.Version{})
	if !fault.Is(err, fault.Stale) {
		return err
	}
	object, err := d.config.Store.Get(ctx, key)
	if err != nil || isCurrent(object) {
		return err
	}
	_, err = d.config.Store.Put(ctx, key, value, object.Version)
	return err
}

// isOwnEntry reports whether an object is the entry of the process.
func (d *Directory) isOwnEntry(object store.Object) bool {
	existing, ok := decode(object.Value)
	return ok && existing == d.config.Self
}

// storedMember is the JSON form of a member in the store.
type storedMember struct {
	Address string `json:"address"`
	Role    string `json:"role"`
}

// storedMarker is the JSON form of the marker in the store.
type storedMarker struct {
	Era uint64 `json:"era"`
}

// marksEra reports whether an object is a marker of the era in which it was read.
func marksEra(object store.Object) bool {
	var marker storedMarker
	return json.Unmarshal(object.Value, &marker) == nil && marker.Era == object.Version.Era
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
