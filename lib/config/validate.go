package config

import (
	"fmt"
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/fault"
)

const fullShare = 100

func validate(c Config) error {
	if err := validateKeys(c); err != nil {
		return err
	}
	addresses := map[netip.AddrPort]string{}
	ids := map[uint16]string{}
	for _, service := range c.Services {
		if err := validateService(service); err != nil {
			return err
		}
		if other, taken := addresses[service.Address]; taken {
			return invalid(service, "has the address of "+other, "give each service its own address")
		}
		if other, taken := ids[service.ID]; taken {
			return invalid(service, "has the ID of "+other, "give each service its own ID")
		}
		addresses[service.Address] = service.Name
		ids[service.ID] = service.Name
	}
	return nil
}

func validateKeys(c Config) error {
	active := false
	for _, key := range c.Keys {
		if len(key.Secret) != connid.SecretLength {
			return fault.New(fault.Invalid, fmt.Sprintf("key %d has the wrong size", key.Number), "give a secret of 16 bytes")
		}
		active = active || key.Number == c.ActiveKey
	}
	if active {
		return nil
	}
	return fault.New(fault.Invalid, fmt.Sprintf("the active key %d does not exist", c.ActiveKey), "add the key in the same patch or before")
}

func validateService(s Service) error {
	switch {
	case s.Name == "":
		return invalid(s, "has no name", "name it")
	case s.ID == 0:
		return invalid(s, "has no ID", "give an ID from 1 to 65535")
	case !s.Address.Addr().Is4():
		return invalid(s, "has no IPv4 address", "give an address and port such as 192.0.2.1:443")
	case s.Slots < 1:
		return invalid(s, "has no slots", "give the number of requests that a backend server runs at once")
	case s.Connections < 1:
		return invalid(s, "has no connections", "give the number of connections that a backend server carries")
	case len(s.Kinds) == 0:
		return invalid(s, "has no kinds of work", "give at least one kind")
	}
	return validateKinds(s)
}

func validateKinds(s Service) error {
	shares := 0
	names := map[string]bool{}
	for _, kind := range s.Kinds {
		if names[kind.Name] {
			return invalid(s, "has two kinds named "+kind.Name, "name each kind differently")
		}
		names[kind.Name] = true
		if err := validateKind(s, kind); err != nil {
			return err
		}
		shares += kind.Share
	}
	if shares > fullShare {
		return invalid(s, fmt.Sprintf("guarantees %d %% of its slots", shares), "let the shares add up to 100 at most")
	}
	return nil
}

func validateKind(s Service, k Kind) error {
	where := "kind " + k.Name
	switch {
	case k.Name == "":
		return invalid(s, "has a kind without a name", "name it")
	case k.Class != ClassFeed && k.Class != ClassMutating && k.Class != ClassRead:
		return invalid(s, where+" has an unknown class", "use feed, mutating or read")
	case k.Method == "" || k.PathPrefix == "":
		return invalid(s, where+" matches nothing", "give a method and a path prefix")
	case k.Class == ClassFeed:
		return nil
	case k.Share < 0 || k.Share > fullShare:
		return invalid(s, where+" has an impossible share", "give a share from 0 to 100")
	case k.QueueLimit < 1:
		return invalid(s, where+" has no queue", "give a queue limit of at least 1")
	case k.Timeout <= 0 || k.Typical <= 0:
		return invalid(s, where+" has no times", "give a timeout and a typical duration")
	case k.Typical > k.Timeout:
		return invalid(s, where+" can't meet its timeout", "give a timeout above the typical duration")
	}
	return nil
}

func invalid(s Service, what, remedy string) error {
	return fault.New(fault.Invalid, "service "+s.Name+" "+what, remedy)
}
