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
	return Member{Address: address, Marked: stored.Marked, Role: role}, true
}

// key returns the store key of the member with the given address.
func key(address netip.AddrPort) string {
	return Prefix + store.AddressName(address)
}
