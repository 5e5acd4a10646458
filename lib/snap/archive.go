package snap

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

const (
	// prefix is the start of the keys of all snapshots.
	prefix = "cyclamendock-flows/"
	// recordSize is the size of an encoded flow in bytes: two addresses with ports and an acknowledgement number.
	recordSize = 4 + 2 + 4 + 2 + 4
)

// Archive stores the snapshot of one agent. It must not be used by several goroutines at once.
type Archive struct {
	key     string
	store   store.Store
	version store.Version // version of the stored snapshot as last read or written; zero when there is none
}

// NewArchive returns the archive of the agent with the given address.
func NewArchive(s store.Store, agent netip.AddrPort) *Archive {
	return &Archive{key: prefix + store.AddressName(agent), store: s}
}

// Era returns the era of the store in which the snapshot was last read or written; zero when there is none.
func (a *Archive) Era() uint64 { return a.version.Era }

// Load returns the stored snapshot, which is empty when there is none or an unreadable one, or an Unavailable fault.
func (a *Archive) Load(ctx context.Context) (flows.Snapshot, error) {
	object, err := a.store.Get(ctx, a.key)
	if fault.Is(err, fault.Missing) {
		a.version = store.Version{}
		return flows.Snapshot{}, nil
	}
	if err != nil {
		return flows.Snapshot{}, err
	}
	a.version = object.Version
	return decode(object.Value)
}

// Save replaces the stored snapshot, or returns an Unavailable fault, or a Stale fault when the stored one isn't the last
// one read or written here; it may be read anew then.
func (a *Archive) Save(ctx context.Context, snapshot flows.Snapshot) error {
	value, err := encode(snapshot)
	if err != nil {
		return err
	}
	object, err := a.store.Put(ctx, a.key, value, a.version)
	if err != nil {
		return err
	}
	a.version = object.Version
	return nil
}

// Remove reads the version of the stored snapshot and removes that version, or returns an Unavailable fault, or a Stale fault
// when the agent stores another one meanwhile.
func (a *Archive) Remove(ctx context.Context) error {
	_, err := a.Load(ctx)
	if err != nil && !fault.Is(err, fault.Invalid) || a.version.IsZero() {
		return err
	}
	if err := a.store.Delete(ctx, a.key, a.version); err != nil {
		return err
	}
	a.version = store.Version{}
	return nil
}

// storedSnapshot is the JSON form of a snapshot in the store.
type storedSnapshot struct {
	Flows       []byte `json:"flows"` // records of recordSize bytes
	StartMillis int64  `json:"startMillis"`
}

func encode(snapshot flows.Snapshot) ([]byte, error) {
	stored := storedSnapshot{Flows: make([]byte, 0, recordSize*len(snapshot.Flows)), StartMillis: snapshot.StartMillis}
	for _, record := range snapshot.Flows {
		stored.Flows = appendEndpoint(stored.Flows, record.Flow.Caller)
		stored.Flows = appendEndpoint(stored.Flows, record.Flow.Service)
		stored.Flows = binary.BigEndian.AppendUint32(stored.Flows, record.Ack)
	}
	value, err := json.Marshal(stored)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the snapshot can't be encoded", "report this")
	}
	return value, nil
}

// decode decodes a stored snapshot, or returns an Invalid fault.
func decode(value []byte) (flows.Snapshot, error) {
	var stored storedSnapshot
	if err := json.Unmarshal(value, &stored); err != nil || len(stored.Flows)%recordSize != 0 {
		return flows.Snapshot{}, fault.Wrap(err, fault.Invalid, "the stored snapshot is malformed", "nothing; the next one replaces it")
	}
	snapshot := flows.Snapshot{StartMillis: stored.StartMillis}
	for records := stored.Flows; len(records) > 0; records = records[recordSize:] {
		snapshot.Flows = append(snapshot.Flows, flows.FlowRecord{
			Ack:  binary.BigEndian.Uint32(records[12:]),
			Flow: flows.Flow{Caller: endpoint(records), Service: endpoint(records[6:])},
		})
	}
	return snapshot, nil
}

func appendEndpoint(dst []byte, e flows.Endpoint) []byte {
	return binary.BigEndian.AppendUint16(append(dst, e.IP[:]...), e.Port)
}

func endpoint(b []byte) flows.Endpoint {
	return flows.Endpoint{IP: [4]byte(b[:4]), Port: binary.BigEndian.Uint16(b[4:])}
}
