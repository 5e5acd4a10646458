package fleet

import (
	"github.com/cyclamendock/cyclamendock/lib/proto"
	"github.com/cyclamendock/cyclamendock/lib/wire"
)

// Field numbers of an encoded Record.
const (
	recordAddress = iota + 1
	recordBootID
	recordIncarnation
	recordName
	recordRegion
	recordRole
	recordSequence
	recordService
	recordState
	recordWeight
	recordZone
	recordAge
)

// recordsItem is the field number of each record in a list of encoded records.
const recordsItem = 1

// Field numbers of an encoded Heartbeat.
const (
	heartbeatConfigVersion = iota + 1
	heartbeatFlows
	heartbeatIncarnation
	heartbeatLoad
	heartbeatNameHash
	heartbeatSequence
	heartbeatBootID
	heartbeatSpeed
)

// Field numbers of an encoded Reply.
const (
	replyBalancersDigest = iota + 1
	replyConfigVersion
	replyIncarnation
	replyMeanLoad
	replyServiceAgents
	replyStatus
)

// Field numbers of an encoded Probe.
const (
	probeConfigVersion = iota + 1
	probeDigest
)

// Field numbers of an encoded DownVote.
const (
	voteIncarnation = iota + 1
	voteMonitor
	voteMember
)

// appendRecord appends an encoded record; age is the time in seconds since the member was reported down.
func appendRecord(dst []byte, record Record, age uint64) []byte {
	dst = proto.AppendAddress(dst, recordAddress, record.Address)
	dst = proto.AppendFixed64(dst, recordBootID, record.BootID)
	dst = proto.AppendVarint(dst, recordIncarnation, record.Incarnation)
	dst = proto.AppendBytes(dst, recordName, []byte(record.Name))
	dst = proto.AppendBytes(dst, recordRegion, []byte(record.Region))
	dst = proto.AppendVarint(dst, recordRole, uint64(record.Role))
	dst = proto.AppendVarint(dst, recordSequence, record.Sequence)
	dst = proto.AppendBytes(dst, recordService, []byte(record.Service))
	dst = proto.AppendVarint(dst, recordState, uint64(record.State))
	dst = proto.AppendVarint(dst, recordWeight, uint64(record.Weight))
	dst = proto.AppendBytes(dst, recordZone, []byte(record.Zone))
	return proto.AppendVarint(dst, recordAge, age)
}

// decodeRecord reports false when the input is malformed or a mandatory field is missing or out of range.
func decodeRecord(b []byte) (AgedRecord, bool) {
	var entry AgedRecord
	ok := proto.Decode(b, func(f proto.Field) bool {
		entry.set(f)
		return true
	})
	r := entry.Record
	valid := r.Name != "" && r.Incarnation > 0 && r.Address.IsValid() && r.Address.Port() != 0
	valid = valid && r.State >= StateAlive && r.State <= StateDown && r.Role >= RoleAgent && r.Role <= RoleBalancer
	return entry, ok && valid
}

func (a *AgedRecord) set(f proto.Field) {
	switch f.Number {
	case recordAddress:
		a.Record.Address = proto.UnpackAddress(f.Value)
	case recordBootID:
		a.Record.BootID = f.Value
	case recordIncarnation:
		a.Record.Incarnation = f.Value
	case recordName:
		a.Record.Name = string(f.Bytes)
	case recordRegion:
		a.Record.Region = string(f.Bytes)
	case recordRole:
		a.Record.Role = Role(f.Value)
	case recordSequence:
		a.Record.Sequence = f.Value
	case recordService:
		a.Record.Service = string(f.Bytes)
	case recordState:
		a.Record.State = State(f.Value)
	case recordWeight:
		a.Record.Weight = uint32(f.Value)
	case recordZone:
		a.Record.Zone = string(f.Bytes)
	case recordAge:
		a.Age = f.Value
	}
}

// EncodeRecords returns the encoded records without a leading kind byte.
func EncodeRecords(records []AgedRecord) []byte {
	var dst, item []byte
	for _, entry := range records {
		item = appendRecord(item[:0], entry.Record, entry.Age)
		dst = proto.AppendBytes(dst, recordsItem, item)
	}
	return dst
}

// DecodeRecords decodes the output of EncodeRecords. It returns all well-formed records and reports false when others, or the rest of
// the input, are malformed.
func DecodeRecords(b []byte) ([]AgedRecord, bool) {
	var records []AgedRecord
	allValid := true
	ok := proto.Decode(b, func(f proto.Field) bool {
		entry, valid := decodeRecord(f.Bytes)
		if valid && f.Number == recordsItem {
			records = append(records, entry)
		} else {
			allValid = false
		}
		return true
	})
	return records, ok && allValid
}

// AppendRecords appends a datagram with the records; kind is KindAnnounce or KindGossip.
func AppendRecords(dst []byte, kind wire.Kind, records []AgedRecord) []byte {
	return append(append(dst, byte(kind)), EncodeRecords(records)...)
}

// Append appends the encoded datagram.
func (h Heartbeat) Append(dst []byte) []byte {
	dst = append(dst, byte(wire.KindHeartbeat))
	dst = proto.AppendVarint(dst, heartbeatConfigVersion, h.ConfigVersion)
	dst = proto.AppendVarint(dst, heartbeatFlows, uint64(h.Flows))
	dst = proto.AppendVarint(dst, heartbeatIncarnation, h.Incarnation)
	dst = proto.AppendVarint(dst, heartbeatLoad, uint64(h.Load))
	dst = proto.AppendFixed64(dst, heartbeatNameHash, h.NameHash)
	dst = proto.AppendVarint(dst, heartbeatSequence, h.Sequence)
	dst = proto.AppendVarint(dst, heartbeatSpeed, uint64(h.Speed))
	return proto.AppendFixed64(dst, heartbeatBootID, h.BootID)
}

// Decode reads a datagram without its kind byte and reports false when it is malformed.
func (h *Heartbeat) Decode(b []byte) bool {
	return proto.Decode(b, func(f proto.Field) bool {
		switch f.Number {
		case heartbeatConfigVersion:
			h.ConfigVersion = f.Value
		case heartbeatFlows:
			h.Flows = uint32(f.Value)
		case heartbeatIncarnation:
			h.Incarnation = f.Value
		case heartbeatLoad:
			h.Load = uint32(f.Value)
		case heartbeatNameHash:
			h.NameHash = f.Value
		case heartbeatSequence:
			h.Sequence = f.Value
		case heartbeatBootID:
			h.BootID = f.Value
		case heartbeatSpeed:
			h.Speed = uint32(f.Value)
		}
		return true
	})
}

// Append appends the encoded datagram.
func (r Reply) Append(dst []byte) []byte {
	dst = append(dst, byte(wire.KindReply))
	dst = proto.AppendFixed64(dst, replyBalancersDigest, r.BalancersDigest)
	dst = proto.AppendVarint(dst, replyConfigVersion, r.ConfigVersion)
	dst = proto.AppendVarint(dst, replyIncarnation, r.Incarnation)
	dst = proto.AppendVarint(dst, replyMeanLoad, uint64(r.MeanLoad))
	dst = proto.AppendVarint(dst, replyServiceAgents, uint64(r.ServiceAgents))
	return proto.AppendVarint(dst, replyStatus, uint64(r.Status))
}

// Decode reads a datagram without its kind byte and reports false when it is malformed.
func (r *Reply) Decode(b []byte) bool {
	return proto.Decode(b, func(f proto.Field) bool {
		switch f.Number {
		case replyBalancersDigest:
			r.BalancersDigest = f.Value
		case replyConfigVersion:
			r.ConfigVersion = f.Value
		case replyIncarnation:
			r.Incarnation = f.Value
		case replyMeanLoad:
			r.MeanLoad = uint32(f.Value)
		case replyServiceAgents:
			r.ServiceAgents = uint32(f.Value)
		case replyStatus:
			r.Status = HeartbeatStatus(f.Value)
		}
		return true
	})
}

// Append appends the encoded datagram.
func (p Probe) Append(dst []byte) []byte {
	dst = append(dst, byte(wire.KindProbe))
	dst = proto.AppendVarint(dst, probeConfigVersion, p.ConfigVersion)
	return proto.AppendFixed64(dst, probeDigest, p.Digest)
}

// Decode reads a datagram without its kind byte and reports false when it is malformed.
func (p *Probe) Decode(b []byte) bool {
	return proto.Decode(b, func(f proto.Field) bool {
		switch f.Number {
		case probeConfigVersion:
			p.ConfigVersion = f.Value
		case probeDigest:
			p.Digest = f.Value
		}
		return true
	})
}

// Append appends the encoded datagram.
func (v DownVote) Append(dst []byte) []byte {
	dst = append(dst, byte(wire.KindVote))
	dst = proto.AppendVarint(dst, voteIncarnation, v.Incarnation)
	dst = proto.AppendBytes(dst, voteMonitor, []byte(v.Monitor))
	return proto.AppendBytes(dst, voteMember, []byte(v.Member))
}

// Decode reads a datagram without its kind byte and reports false when it is malformed.
func (v *DownVote) Decode(b []byte) bool {
	return proto.Decode(b, func(f proto.Field) bool {
		switch f.Number {
		case voteIncarnation:
			v.Incarnation = f.Value
		case voteMonitor:
			v.Monitor = string(f.Bytes)
		case voteMember:
			v.Member = string(f.Bytes)
		}
		return true
	})
}
