package flows

import (
	"encoding/binary"

	"github.com/cyclamendock/cyclamendock/lib/zones"
)

const (
	digestZonesFromStore = 32
	digestZonesKnown     = 16
	digestAgentsHeard    = 8
	digestReplyRequired  = 4
	digestFromStore      = 2
	digestIsReply        = 1
)

// Digest summarises a balancer's configuration and members for comparison by another one.
type Digest struct {
	AgentsHeard    bool   // the sender hears agents
	Era            uint64 // latest era of the store that the sender knows
	FromStore      bool   // the sender has just read the version from the store
	IsReply        bool   // the digest replies to another one
	MembersHash    uint64 // hash of the members' addresses
	ReplyRequired  bool   // the recipient replies even when nothing differs
	Version        uint64 // version of the configuration
	Zones          zones.State
	ZonesFromStore bool // the sender has just listed the evacuated availability zones
}

// Append appends the encoded message.
func (d Digest) Append(dst []byte) []byte {
	flags := flagBit(d.AgentsHeard, digestAgentsHeard) |
		flagBit(d.FromStore, digestFromStore) |
		flagBit(d.IsReply, digestIsReply) |
		flagBit(d.ReplyRequired, digestReplyRequired) |
		flagBit(d.Zones.Known, digestZonesKnown) |
		flagBit(d.ZonesFromStore, digestZonesFromStore)
	dst = append(dst, byte(KindDigest), flags)
	dst = binary.BigEndian.AppendUint64(dst, d.Version)
	dst = binary.BigEndian.AppendUint64(dst, d.MembersHash)
	dst = binary.AppendUvarint(dst, d.Era)
	if d.Zones.Known {
		dst = appendZones(dst, d.Zones)
	}
	return dst
}

// Decode decodes the message and reports whether it is well-formed.
func (d *Digest) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	flags := r.byte()
	d.AgentsHeard = flags&digestAgentsHeard != 0
	d.FromStore = flags&digestFromStore != 0
	d.IsReply = flags&digestIsReply != 0
	d.ReplyRequired = flags&digestReplyRequired != 0
	d.ZonesFromStore = flags&digestZonesFromStore != 0
	d.Version = r.uint64()
	d.MembersHash = r.uint64()
	d.Era = r.uvarint()
	d.Zones = zones.State{}
	if flags&digestZonesKnown != 0 {
		d.Zones = r.zones()
	}
	return !r.failed
}
