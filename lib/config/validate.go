package config

import (
	"fmt"
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// maxTotalShare is the maximum sum of the kinds' shares of a service's slots, in per cent.
const maxTotalShare = 100

// validate returns an Invalid fault unless the configuration as a whole is consistent.
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
		if other, exists := addresses[service.Address]; exists {
			return invalidService(service, "has the address of "+other, "give each service its own address")
		}
		if other, exists := ids[service.ID]; exists {
			return invalidService(service, "has the ID of "+other, "give each service its own ID")
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
			return fault.New(fault.Invalid, fmt.Sprintf("the secret of key %d has the wrong size", key.Number),
				"give a secret of 16 bytes")
		}
		active = active || key.Number == c.ActiveKey
	}
	if active {
		return nil
	}
	return fault.New(fault.Invalid, fmt.Sprintf("the active key %d does not exist", c.ActiveKey),
		"add the key in this patch or an earlier one")
}

func validateService(service Service) error {
	switch {
	case service.Name == "":
		return invalidService(service, "has no name", "give it a name")
	case service.ID == 0:
		return invalidService(service, "has no ID", "give an ID from 1 to 65535")
	case !service.Address.Addr().Is4():
		return invalidService(service, "has no IPv4 address", "give an address and port such as 192.0.2.1:443")
	case service.Slots < 1:
		return invalidService(service, "has no slots", "give the maximum number of concurrent requests on one backend server")
	case service.MaxConnections < 1:
		return invalidService(service, "has no connections", "give the maximum number of connections to one backend server")
	case len(service.Kinds) == 0:
		return invalidService(service, "has no kinds of work", "give at least one kind")
	}
	return validateKinds(service)
}

func validateKinds(service Service) error {
	shares := 0
	names := map[string]bool{}
	for _, kind := range service.Kinds {
		if names[kind.Name] {
			return invalidService(service, "has two kinds named "+kind.Name, "give each kind its own name")
		}
		names[kind.Name] = true
		if err := validateKind(service, kind); err != nil {
			return err
		}
		shares += kind.Share
	}
	if shares > maxTotalShare {
		return invalidService(service, fmt.Sprintf("guarantees %d %% of its slots", shares),
			"reduce the shares to a sum of at most 100")
	}
	return nil
}

func validateKind(service Service, kind Kind) error {
	subject := "kind " + kind.Name
	switch {
	case kind.Name == "":
		return invalidService(service, "has a kind without a name", "give it a name")
	case kind.Class != ClassFeed && kind.Class != ClassMutating && kind.Class != ClassRead:
		return invalidService(service, subject+" has an unknown class", "use feed, mutating or read")
	case kind.Method == "" || kind.PathPrefix == "":
		return invalidService(service, subject+" has no method or no path prefix", "give a method and a path prefix")
	case kind.Class == ClassFeed:
		return nil
	case kind.Share < 0 || kind.Share > maxTotalShare:
		return invalidService(service, subject+" has an invalid share", "give a share from 0 to 100")
	case kind.QueueLimit < 1:
		return invalidService(service, subject+" has no queue limit", "give a queue limit of at least 1")
	case kind.Timeout <= 0 || kind.TypicalDuration <= 0:
		return invalidService(service, subject+" has no timeout or no typical duration", "give a timeout and a typical duration")
	case kind.TypicalDuration > kind.Timeout:
		return invalidService(service, subject+" has a timeout below its typical duration", "give a longer timeout")
	}
	return nil
}

// invalidService returns an Invalid fault for a problem of a service.
func invalidService(service Service, problem, remedy string) error {
	return fault.New(fault.Invalid, "service "+service.Name+" "+problem, remedy)
}
