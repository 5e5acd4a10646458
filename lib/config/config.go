package config

import (
	"net/netip"
	"time"
)

// Class determines how an agent schedules and retries a kind of work.
type Class string

const (
	// ClassFeed marks a long-lived response that occupies a connection but no slot.
	ClassFeed Class = "feed"
	// ClassMutating marks a request that must not be retried.
	ClassMutating Class = "mutating"
	// ClassRead marks a request that may be retried.
	ClassRead Class = "read"
)

// Kind is one kind of work on a service, selected by method and path prefix.
type Kind struct {
	Class           Class
	Method          string
	Name            string
	PathPrefix      string
	QueueLimit      int // maximum number of waiting requests of this kind
	Share           int // guaranteed per cent of the slots
	Timeout         time.Duration
	TypicalDuration time.Duration // typical service time of one request on an unloaded backend server
	Urgency         int           // greater is more urgent
}

// Service is a service's address, its kinds of work and the limits of each of its backend servers.
type Service struct {
	Address        netip.AddrPort
	ID             uint16
	Kinds          []Kind
	MaxConnections int // maximum number of connections to one backend server
	Name           string
	Slots          int // maximum number of concurrent requests on one backend server
}

// Key is a key for sealing connection IDs.
type Key struct {
	Number uint8
	Secret []byte
}

// Config is one version of the complete configuration.
type Config struct {
	ActiveKey    uint8    // number of the key that seals new connection IDs
	Drains       []string // names of the drained members, sorted
	Keys         []Key    // sorted by number
	Services     []Service
	TicketSecret []byte // secret that protects tickets
	Version      uint64
}

// Service returns the service with the given name, or false when there is none.
func (c *Config) Service(name string) (Service, bool) {
	for _, service := range c.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Drained reports whether the operator has drained a member.
func (c *Config) Drained(member string) bool {
	for _, name := range c.Drains {
		if name == member {
			return true
		}
	}
	return false
}

// Match returns the index of the first kind that matches a request, or false when none does.
func (s *Service) Match(method, path string) (int, bool) {
	for i, kind := range s.Kinds {
		if kind.Method == method && hasPrefix(path, kind.PathPrefix) {
			return i, true
		}
	}
	return 0, false
}

func hasPrefix(path, prefix string) bool {
	return len(path) >= len(prefix) && path[:len(prefix)] == prefix
}
