package member

import (
	"encoding/json"
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

// storedMember is the JSON form of a member in the store.
type storedMember struct {
	Address string `json:"address"`
	Marked  bool   `json:"markedForRemoval,omitempty"`
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

// encode encodes a member for the store.
func encode(m Member) ([]byte, error) {
	value, err := json.Marshal(storedMember{Address: m.Address.String(), Marked: m.Marked, Role: string(m.Role)})
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the member can't be encoded", "report this")
	}
	return value, nil
}

// decode decodes a stored member and reports whether it is valid. Other entries come from another writer: no message can be sent to
// their address, or it is that of another entry.
func decode(object store.Object) (Member, bool) {
	var stored storedMember
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return Member{}, false
	}
	address, err := netip.ParseAddrPort(stored.Address)
	role := Role(stored.Role)
	switch {
	case err != nil || !address.Addr().Is4() || address.Port() == 0:
		return Member{}, false
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return Member{}, false
	case role != RoleAgent && role != RoleBalancer:
		return Member{}, false
	case object.Key != key(address):
		return Member{}, false
	}
	return Member{Address: address, Marked: stored.Marked, Role: role}, true
}

// key returns the store key of the member with the given address.
func key(address netip.AddrPort) string {
	return Prefix + store.AddressName(address)
}
