package member

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
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
	Marked  bool           // the entry is marked for removal and may be deleted; its process does not rely on it
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
//
// An entry is removed in two steps: it is marked for removal, and only a version that is marked is ever deleted. A process never
// relies on a marked entry, but replaces it. So a delete that the store executes late removes no entry that a process relies on.
type Directory struct {
	config Config
	mu     sync.Mutex // guards own
	own    ownEntry
}

// ownEntry is what a process knows of its entry.
type ownEntry struct {
	current bool          // the entry was valid and not marked for removal
	version store.Version // as last read or written; zero when not known
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
	var own ownEntry
	ownKey := key(d.config.Self.Address)
	for _, object := range objects {
		if object.Key == ownKey {
			own = ownEntry{current: d.isOwnEntry(object), version: object.Version}
		}
		if object.Key == Prefix+markerName {
			list.Complete = marksEra(object)
			continue
		}
		member, ok := decode(object)
		if !ok {
			d.config.Ignored.Record(time.Now(), netio.InputMember, object.Key, "the entry is not a valid member")
			continue
		}
		list.Members = append(list.Members, member)
	}
	d.setOwn(own)
	return list, nil
}

// MarkComplete states in the store that the list is complete in the given era: every process has had time to register again
// since the store lost changes. The statement is lost with the next era.
func (d *Directory) MarkComplete(ctx context.Context, era uint64) error {
	value, err := json.Marshal(storedMarker{Era: era})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the marker can't be encoded", "report this")
	}
	_, err = d.replace(ctx, Prefix+markerName, value, marksEra)
	return err
}

// ContainsSelf reports whether a list contains the process, by an entry that is not marked for removal.
func (d *Directory) ContainsSelf(list List) bool { return slices.Contains(list.Members, d.config.Self) }

// Leave marks the entry of the process for removal and deletes it, or returns an Unavailable fault, or a Stale fault when the
// entry changes meanwhile.
func (d *Directory) Leave(ctx context.Context) error {
	marked, err := d.markOwn(ctx)
	if fault.Is(err, fault.Missing) {
		return nil
	}
	if err != nil {
		return err
	}
	return d.config.Store.Delete(ctx, marked.Key, marked.Version)
}

// markOwn marks the entry of the process for removal, which it reads first unless its version is known, and returns it, or a
// Missing fault when there is none.
func (d *Directory) markOwn(ctx context.Context) (store.Object, error) {
	if own := d.takeOwn(); !own.version.IsZero() {
		marked, err := d.putMarked(ctx, d.config.Self, own.version)
		if !fault.Is(err, fault.Stale) {
			return marked, err
		}
	}
	return d.mark(ctx, d.config.Self.Address)
}

// Mark marks the entry of another process, which seems to have failed, for removal, or returns an Unavailable fault. The entry stays
// on the list, since the process may run where others hear it. It leaves entries alone that are no valid members.
func (d *Directory) Mark(ctx context.Context, address netip.AddrPort) error {
	_, err := d.mark(ctx, address)
	if fault.Is(err, fault.Missing) || fault.Is(err, fault.Stale) {
		return nil // its process has removed or replaced it
	}
	return err
}

// mark marks an entry for removal unless it is, and returns it, or a Missing fault when there is none.
func (d *Directory) mark(ctx context.Context, address netip.AddrPort) (store.Object, error) {
	object, err := d.config.Store.Get(ctx, key(address))
	if err != nil {
		return store.Object{}, err
	}
	m, ok := decode(object)
	switch {
	case !ok:
		return store.Object{}, fault.New(fault.Missing, "the entry "+object.Key+" is not a valid member", "nothing; its writer owns it")
	case m.Marked:
		return object, nil
	}
	return d.putMarked(ctx, m, object.Version)
}

// putMarked replaces an entry of the given version by one that is marked for removal.
func (d *Directory) putMarked(ctx context.Context, m Member, version store.Version) (store.Object, error) {
	m.Marked = true
	value, err := encode(m)
	if err != nil {
		return store.Object{}, err
	}
	return d.config.Store.Put(ctx, key(m.Address), value, version)
}

// HasEntry reports whether the store has the entry of the process, not marked for removal, or returns an Unavailable fault.
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

// Register stores the entry of the process, replacing one with the same address that is older or marked for removal, or returns
// an Unavailable fault.
func (d *Directory) Register(ctx context.Context) error {
	value, err := encode(d.config.Self)
	if err != nil {
		return err
	}
	object, err := d.replaceOwn(ctx, value)
	if err == nil {
		d.setOwn(ownEntry{current: true, version: object.Version})
	}
	return err
}

// replaceOwn stores the entry of the process, in one call if the version of one that must be replaced is known.
func (d *Directory) replaceOwn(ctx context.Context, value []byte) (store.Object, error) {
	ownKey := key(d.config.Self.Address)
	if own := d.takeOwn(); !own.current && !own.version.IsZero() {
		object, err := d.config.Store.Put(ctx, ownKey, value, own.version)
		if !fault.Is(err, fault.Stale) && !fault.Is(err, fault.Missing) {
			return object, err
		}
	}
	return d.replace(ctx, ownKey, value, d.isOwnEntry)
}

// replace creates an object, or replaces an existing one that is not up to date, and returns what is stored then.
func (d *Directory) replace(ctx context.Context, key string, value []byte, isCurrent func(store.Object) bool) (store.Object, error) {
	object, err := d.config.Store.Put(ctx, key, value, store.Version{})
	if !fault.Is(err, fault.Stale) {
		return object, err
	}
	object, err = d.config.Store.Get(ctx, key)
	if err != nil || isCurrent(object) {
		return object, err
	}
	return d.config.Store.Put(ctx, key, value, object.Version)
}

func (d *Directory) setOwn(own ownEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own = own
}

// takeOwn returns what is known of the process's entry, which is not known from then on, as it is about to change.
func (d *Directory) takeOwn() ownEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.own
	d.own = ownEntry{}
	return own
}

// isOwnEntry reports whether an object is the entry of the process.
func (d *Directory) isOwnEntry(object store.Object) bool {
	existing, ok := decode(object)
	return ok && existing == d.config.Self
}
