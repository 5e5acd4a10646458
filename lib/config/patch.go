package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/ticket"
)

// Operation is one change within a patch.
type Operation interface {
	apply(c *Config) error
}

// Patch is a list of changes that is accepted or rejected as a whole.
type Patch struct {
	Author     string
	Base       uint64 // version of the configuration that the patch applies to
	ID         string // unique; makes submitting idempotent
	Note       string
	Operations []Operation
}

// Entry is an accepted patch with the version of the configuration that it created.
type Entry struct {
	Patch   Patch
	Version uint64
}

// ActivateKey selects the key with which agents seal new connection IDs.
type ActivateKey struct{ Number uint8 }

// AddKey adds a connection ID key.
type AddKey struct{ Key Key }

// Drain stops new work for a member.
type Drain struct{ Member string }

// RemoveKey removes a connection ID key and thereby breaks the flows that still use it.
type RemoveKey struct{ Number uint8 }

// RemoveService removes a service.
type RemoveService struct{ Name string }

// SetService adds a service, or replaces the one with the same name and ID.
type SetService struct{ Service Service }

// SetTicketSecret replaces the secret that protects tickets.
type SetTicketSecret struct{ Secret []byte }

// Undrain allows new work for a drained member again.
type Undrain struct{ Member string }

// Apply returns the configuration that results from the patch, or a Stale or Invalid fault.
func Apply(current Config, patch Patch) (Config, error) {
	if patch.ID == "" {
		return Config{}, fault.New(fault.Invalid, "the patch has no ID", "give it an ID that no other patch has")
	}
	if patch.Base != current.Version {
		return Config{}, staleBase(patch.Base, current.Version)
	}
	if len(patch.Operations) == 0 {
		return Config{}, fault.New(fault.Invalid, "the patch has no operations", "give it at least one operation")
	}
	next := clone(current)
	for i, operation := range patch.Operations {
		if err := operation.apply(&next); err != nil {
			return Config{}, fault.Wrap(err, fault.KindOf(err), fmt.Sprintf("operation %d is rejected", i+1), "")
		}
	}
	if err := validate(next); err != nil {
		return Config{}, err
	}
	next.Version = current.Version + 1
	return next, nil
}

func staleBase(base, current uint64) error {
	return fault.New(fault.Stale, fmt.Sprintf("the patch is for version %d but version %d is in force", base, current),
		"read the configuration again, check that the change still fits, and set its base to the current version")
}

func clone(c Config) Config {
	c.Drains = slices.Clone(c.Drains)
	c.Keys = slices.Clone(c.Keys)
	c.Services = slices.Clone(c.Services)
	return c
}

func (o ActivateKey) apply(c *Config) error {
	c.ActiveKey = o.Number
	return nil
}

func (o AddKey) apply(c *Config) error {
	if len(o.Key.Secret) != connid.SecretLength {
		return fault.New(fault.Invalid, fmt.Sprintf("the secret of key %d has the wrong size", o.Key.Number),
			"give a secret of 16 bytes")
	}
	for _, key := range c.Keys {
		if key.Number == o.Key.Number {
			return fault.New(fault.Invalid, fmt.Sprintf("key %d already exists", key.Number),
				"use a number that no other key has")
		}
	}
	c.Keys = append(c.Keys, o.Key)
	slices.SortFunc(c.Keys, func(a, b Key) int { return cmp.Compare(a.Number, b.Number) })
	return nil
}

func (o Drain) apply(c *Config) error {
	if o.Member == "" {
		return fault.New(fault.Invalid, "the drain operation has no member", "give the name of a backend server or balancer")
	}
	if c.Drained(o.Member) {
		return nil
	}
	c.Drains = append(c.Drains, o.Member)
	slices.Sort(c.Drains)
	return nil
}

func (o RemoveKey) apply(c *Config) error {
	if o.Number == c.ActiveKey {
		return fault.New(fault.Invalid, fmt.Sprintf("key %d is active", o.Number), "activate another key first")
	}
	kept := slices.DeleteFunc(c.Keys, func(key Key) bool { return key.Number == o.Number })
	if len(kept) == len(c.Keys) {
		return fault.New(fault.Invalid, fmt.Sprintf("key %d does not exist", o.Number), "see `config show` for the keys")
	}
	c.Keys = kept
	return nil
}

func (o RemoveService) apply(c *Config) error {
	kept := slices.DeleteFunc(c.Services, func(service Service) bool { return service.Name == o.Name })
	if len(kept) == len(c.Services) {
		return fault.New(fault.Invalid, "there is no service "+o.Name, "see `config show` for the services")
	}
	c.Services = kept
	return nil
}

func (o SetService) apply(c *Config) error {
	for i, service := range c.Services {
		if service.Name != o.Service.Name {
			continue
		}
		if service.ID != o.Service.ID {
			return fault.New(fault.Invalid, "the ID of service "+service.Name+" can't change",
				"remove the service and add it again")
		}
		c.Services[i] = o.Service
		return nil
	}
	c.Services = append(c.Services, o.Service)
	slices.SortFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return nil
}

func (o SetTicketSecret) apply(c *Config) error {
	if len(o.Secret) != ticket.SecretLength {
		return fault.New(fault.Invalid, "the ticket secret has the wrong size", "give a secret of 16 bytes")
	}
	c.TicketSecret = o.Secret
	return nil
}

func (o Undrain) apply(c *Config) error {
	c.Drains = slices.DeleteFunc(c.Drains, func(member string) bool { return member == o.Member })
	return nil
}
