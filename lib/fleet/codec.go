package fleet

import (
	"github.com/cyclamendock/cyclamendock/lib/fields"
	"github.com/cyclamendock/cyclamendock/lib/wire"
)

const (
	recordAddress = iota + 1
	recordBoot
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

const recordList = 1

const (
	beatConfig = iota + 1
	beatFlows
	beatIncarnation
	beatLoad
	beatNameHash
	beatSequence
	beatBoot
	beatSpeed
)

const (
	replyBalancers = iota + 1
	replyConfig
	replyIncarnation
	replyMean
	replyMembers
	replyStanding
)

const (
	probeConfig = iota + 1
	probeDigest
)

const (
	voteIncarnation = iota + 1
	voteKeeper
	voteMember
)

// appendRecord appends a record with the age of its knowledge in seconds.
func appendRecord(dst []byte, r Record, age uint64) []byte {
	dst = fields.AppendAddress(dst, recordAddress, r.Address)
	dst = fields.AppendFixed(dst, recordBoot, r.Boot)
	dst = fields.AppendVarint(dst, recordIncarnation, r.Incarnation)
	dst = fields.AppendBytes(dst, recordName, []byte(r.Name))
	dst = fields.AppendBytes(dst, recordRegion, []byte(r.Region))
	dst = fields.AppendVarint(dst, recordRole, uint64(r.Role))
	dst = fields.AppendVarint(dst, recordSequence, r.Sequence)
	dst = fields.AppendBytes(dst, recordService, []byte(r.Service))
	dst = fields.AppendVarint(dst, recordState, uint64(r.State))
	dst = fields.AppendVarint(dst, recordWeight, uint64(r.Weight))
	dst = fields.AppendBytes(dst, recordZone, []byte(r.Zone))
	return fields.AppendVarint(dst, recordAge, age)
}

func decodeRecord(b []byte) (Aged, bool) {
	var a Aged
	ok := fields.Decode(b, func(f fields.Field) bool {
		a.set(f)
		return true
	})
	r := a.Record
	valid := r.Name != "" && r.Incarnation > 0 && r.Address.IsValid()
	valid = valid && r.State >= StateAlive && r.State <= StateDown && r.Role >= RoleAgent && r.Role <= RoleBalancer
	return a, ok && valid
}

func (a *Aged) set(f fields.Field) {
	switch f.Number {
	case recordAddress:
		a.Record.Address = fields.UnpackAddress(f.Value)
	case recordBoot:
		a.Record.Boot = f.Value
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

// EncodeRecords returns the encoded records, without a kind byte.
func EncodeRecords(records []Aged) []byte {
	var dst, one []byte
	for _, a := range records {
		one = appendRecord(one[:0], a.Record, a.Age)
		dst = fields.AppendBytes(dst, recordList, one)
	}
	return dst
}

// DecodeRecords is the inverse of EncodeRecords and reports false when the input is malformed.
func DecodeRecords(b []byte) ([]Aged, bool) {
	var records []Aged
	ok := fields.Decode(b, func(f fields.Field) bool {
		a, good := decodeRecord(f.Bytes)
		records = append(records, a)
		return good && f.Number == recordList
	})
	return records, ok
}

// AppendRecords appends a datagram of the given kind, either an announcement or a rumor.
func AppendRecords(dst []byte, kind wire.Kind, records []Aged) []byte {
	return append(append(dst, byte(kind)), EncodeRecords(records)...)
}

// Append appends the encoded datagram.
func (h Heartbeat) Append(dst []byte) []byte {
	dst = append(dst, byte(wire.KindHeartbeat))
	dst = fields.AppendVarint(dst, beatConfig, h.Config)
	dst = fields.AppendVarint(dst, beatFlows, uint64(h.Flows))
	dst = fields.AppendVarint(dst, beatIncarnation, h.Incarnation)
	dst = fields.AppendVarint(dst, beatLoad, uint64(h.Load))
	dst = fields.AppendFixed(dst, beatNameHash, h.NameHash)
	dst = fields.AppendVarint(dst, beatSequence, h.Sequence)
	dst = fields.AppendVarint(dst, beatSpeed, uint64(h.Speed))
	return fields.AppendFixed(dst, beatBoot, h.Boot)
}

// Decode reads a datagram without its kind byte and reports false when it is malformed.
func (h *Heartbeat) Decode(b []byte) bool {
	return fields.Decode(b, func(f fields.Field) bool {
		switch f.Number {
		case beatConfig:
			h.Config = f.Value
		case beatFlows:
			h.Flows = uint32(f.Value)
		case beatIncarnation:
			h.Incarnation = f.Value
		case beatLoad:
			h.Load = uint32(f.Value)
		case beatNameHash:
			h.NameHash = f.Value
		case beatSequence:
			h.Sequence = f.Value
		case beatBoot:
			h.Boot = f.Value
		case beatSpeed:
			h.Speed = uint32(f.Value)
		}
		return true
	})
}

// Append appends the encoded datagram.
func (r Reply) Append(dst []byte) []byte {
	dst = append(dst, byte(wire.KindReply))
	dst = fields.AppendFixed(dst, replyBalancers, r.Balancers)
	dst = fields.AppendVarint(dst, replyConfig, r.Config)
	dst = fields.AppendVarint(dst, replyIncarnation, r.Incarnation)
	dst = fields.AppendVarint(dst, replyMean, uint64(r.Mean))
	dst = fields.AppendVarint(dst, replyMembers, uint64(r.Members))
	return fields.AppendVarint(dst, replyStanding, uint64(r.Standing))
}

// Decode reads a datagram without its kind byte and reports false when it is malformed.
func (r *Reply) Decode(b []byte) bool {
	return fields.Decode(b, func(f fields.Field) bool {
		switch f.Number {
		case replyBalancers:
			r.Balancers = f.Value
		case replyConfig:
			r.Config = f.Value
		case replyIncarnation:
			r.Incarnation = f.Value
		case replyMean:
			r.Mean = uint32(f.Value)
		case replyMembers:
			r.Members = uint32(f.Value)
		case replyStanding:
			r.Standing = Standing(f.Value)
		}
		return true
	})
}

// Append appends the encoded datagram.
func (p Probe) Append(dst []byte) []byte {
	dst = append(dst, byte(wire.KindProbe))
	dst = fields.AppendVarint(dst, probeConfig, p.Config)
	return fields.AppendFixed(dst, probeDigest, p.Digest)
}

// Decode reads a datagram without its kind byte and reports false when it is malformed.
func (p *Probe) Decode(b []byte) bool {
	return fields.Decode(b, func(f fields.Field) bool {
		switch f.Number {
		case probeConfig:
			p.Config = f.Value
		case probeDigest:
			p.Digest = f.Value
		}
		return true
	})
}

// Append appends the encoded datagram.
func (v Vote) Append(dst []byte) []byte {
	dst = append(dst, byte(wire.KindVote))
	dst = fields.AppendVarint(dst, voteIncarnation, v.Incarnation)
	dst = fields.AppendBytes(dst, voteKeeper, []byte(v.Keeper))
	return fields.AppendBytes(dst, voteMember, []byte(v.Member))
}

// Decode reads a datagram without its kind byte and reports false when it is malformed.
func (v *Vote) Decode(b []byte) bool {
	return fields.Decode(b, func(f fields.Field) bool {
		switch f.Number {
		case voteIncarnation:
			v.Incarnation = f.Value
		case voteKeeper:
			v.Keeper = string(f.Bytes)
		case voteMember:
			v.Member = string(f.Bytes)
		}
		return true
	})
}
