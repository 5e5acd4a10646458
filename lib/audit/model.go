package audit

import (
	"net/netip"
	"strconv"
	"time"
)

// Field is a field of a configuration, whatever its name in a format.
type Field int

const (
	// FieldAddress is the address of a route or service.
	FieldAddress Field = iota
	// FieldColdDuration is how long a backend server is cold.
	FieldColdDuration
	// FieldColdRate is the number of requests per second that a cold backend server can handle.
	FieldColdRate
	// FieldID is the number of a service.
	FieldID
	// FieldIdleTimeout is the time after which an idle flow may be forgotten.
	FieldIdleTimeout
	// FieldLatencyTarget is a route's latency target.
	FieldLatencyTarget
	// FieldMaxConnections is the maximum number of connections or flows of one backend server.
	FieldMaxConnections
	// FieldName is the name of a route or service.
	FieldName
	// FieldPort is the port of an address in a format that has a field of its own for it.
	FieldPort
	// FieldQueueLimit is the maximum number of waiting requests.
	FieldQueueLimit
	// FieldReserved is the share of the slots that is guaranteed, in per cent.
	FieldReserved
	// FieldService is the service that a route or a share of it names.
	FieldService
	// FieldSlots is the maximum number of concurrent requests on one backend server.
	FieldSlots
	// FieldTimeout is a route's timeout.
	FieldTimeout
	// FieldTypicalDuration is the typical service time of a request.
	FieldTypicalDuration
	// FieldVersion is the version of the configuration.
	FieldVersion
	// FieldWeight is the weight of a share.
	FieldWeight
)

// Schema describes a format: the names of its fields and the rules that differ between formats.
type Schema struct {
	FirstMatchWins     bool             // of two routes that match the same, the first one takes effect instead of the last one
	Names              map[Field]string // by field; a field without a name does not exist in the format
	Route              string           // what the format calls a route, such as route
	Routes             string           // place of the list of routes
	Services           string           // place of the list of services
	ServiceNeedsRoute  bool             // a service without a route is refused
	VersionIsBase      bool             // the version is the one that the change is based on, not its own
	RemovedServiceText string           // what happens to the open flows of a removed service; empty when they belong to routes
}

// Config is a configuration with the places of its parts in the file that it was read from.
type Config struct {
	Fields         []Value       // compared with the version in force
	IdleTimeout    time.Duration // zero when not stated
	Routes         []Route
	Services       []Service
	ServicesListed bool // the file has a list of services, so that others are unknown
	Version        uint64
}

// Route is one address and, if the format has them, the method and path that requests must have.
type Route struct {
	Address         netip.AddrPort // invalid when it is malformed
	Endless         bool           // responses have no timeout and occupy no slot
	Fields          []Value        // compared with the version in force
	LatencyTarget   time.Duration
	Method          string
	Name            string
	Owner           string // name of the service that the route belongs to; empty when shares name services
	PathPrefix      string
	Place           string
	QueueLimit      int64
	Reserved        int64 // guaranteed per cent of the slots
	Shares          []Share
	Timeout         time.Duration
	TypicalDuration time.Duration
}

// Share is a service that receives a share of a route's flows.
type Share struct {
	Place   string // of the share, or of the route when the route names a single service
	Service string
	Weight  int64
}

// Service is a service with the limits of each of its backend servers.
type Service struct {
	Address        netip.AddrPort // invalid when it is malformed or the format has none
	ColdDuration   time.Duration
	ColdRate       float64 // requests per second; zero means no limit
	Fields         []Value // compared with the version in force
	ID             int64
	MaxConnections int64
	Name           string
	Place          string
	Slots          int64
}

// Value is a field's value as the file states it, by the field's name in the format.
type Value struct {
	Name string
	Text string
}

// At returns the place of a field of the element at a place.
func At(place, name string) string {
	switch {
	case place == "":
		return name
	case name == "":
		return place
	}
	return place + "." + name
}

// AtIndex returns the place of an element of the list at a place.
func AtIndex(place string, index int) string { return place + "[" + strconv.Itoa(index) + "]" }

func (s Schema) has(field Field) bool { return s.Names[field] != "" }

func (s Schema) at(place string, field Field) string { return At(place, s.Names[field]) }
