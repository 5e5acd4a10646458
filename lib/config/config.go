package config

import (
	"net/netip"
	"time"
)

// A Class tells how an agent treats a kind of work.
type Class string

const (
	// ClassFeed is a long response that holds a connection but no slot.
	ClassFeed Class = "feed"
	// ClassMutating is a request that must not be repeated.
	ClassMutating Class = "mutating"
	// ClassRead is a request that may be repeated.
	ClassRead Class = "read"
)

// A Kind is one kind of work on a service.
type Kind struct {
	Class      Class
	Method     string
	Name       string
	PathPrefix string
	QueueLimit int
	Share      int // guaranteed per cent of the slots
	Timeout    time.Duration
	Typical    time.Duration // of one request on a cool backend server
	Urgency    int           // greater is more urgent
}

// A Service is one address with the limits of its backend servers.
type Service struct {
	Address     netip.AddrPort
	Connections int // that one backend server carries
	ID          uint16
	Kinds       []Kind
	Name        string
	Slots       int // requests that one backend server runs at once
}

// A Key is a connection ID key.
type Key struct {
	Number uint8
	Secret []byte
}

// A Config is one version of the whole configuration.
type Config struct {
	ActiveKey    uint8
	Drains       []string // names of members, sorted
	Keys         []Key    // sorted by number
	Services     []Service
	TicketSecret []byte
	Version      uint64
}

// Service returns the service of a name.
func (c *Config) Service(name string) (Service, bool) {
	for _, service := range c.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Drained reports whether a member is drained by the operator.
func (c *Config) Drained(member string) bool {
	for _, name := range c.Drains {
		if name == member {
			return true
		}
	}
	return false
}

// Match returns the index of the first kind that fits a request, or false when none does.
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
