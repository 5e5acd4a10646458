package audit

import (
	"fmt"
	"math"
	"net/netip"
	"time"
)

// maxServiceID is the greatest number of a service.
const maxServiceID = math.MaxUint16

func (c *checker) checkServices() {
	names := map[string]Service{}
	addresses := map[netip.AddrPort]Service{}
	ids := map[int64]Service{}
	for _, service := range c.config.Services {
		c.checkServiceName(service, names)
		c.checkServiceAddress(service, addresses)
		c.checkServiceID(service, ids)
		c.checkLimits(service)
	}
	c.checkReserved()
	c.checkQueues()
	c.checkUnused()
}

func (c *checker) checkServiceName(service Service, names map[string]Service) {
	place := c.schema.at(service.Place, FieldName)
	if service.Name == "" {
		c.invalid(place, "the service has no name", "give it a name that no other service has")
		return
	}
	if other, exists := names[service.Name]; exists {
		c.invalid(place, "the name "+quote(service.Name)+" is also that of "+other.Place, "give each service its own name")
		return
	}
	names[service.Name] = service
}

func (c *checker) checkServiceAddress(service Service, addresses map[netip.AddrPort]Service) {
	if c.schema.RemovedServiceText == "" { // routes have the addresses
		return
	}
	c.checkAddress(service.Place, service.Address)
	if !canReceive(service.Address) {
		return
	}
	if other, exists := addresses[service.Address]; exists {
		c.invalid(c.schema.at(service.Place, FieldAddress), "the address "+service.Address.String()+" is also that of "+other.Place,
			"give each service its own address")
		return
	}
	addresses[service.Address] = service
}

func (c *checker) checkServiceID(service Service, ids map[int64]Service) {
	if !c.schema.has(FieldID) {
		return
	}
	place := c.schema.at(service.Place, FieldID)
	if service.ID < 1 || service.ID > maxServiceID {
		c.invalid(place, "the ID is missing or out of range", "give an ID from 1 to 65535")
		return
	}
	if other, exists := ids[service.ID]; exists {
		c.invalid(place, fmt.Sprintf("the ID %d is also that of %s", service.ID, other.Place), "give each service its own ID")
		return
	}
	ids[service.ID] = service
}

// checkLimits reports limits of a service that can't be used or contradict each other.
func (c *checker) checkLimits(service Service) {
	c.checkPositive(service.Place, FieldMaxConnections, service.MaxConnections, "maximum number of connections")
	c.checkPositive(service.Place, FieldSlots, service.Slots, "number of slots")
	if service.MaxConnections > 0 && service.Slots > service.MaxConnections {
		c.contradiction(c.schema.at(service.Place, FieldSlots),
			fmt.Sprintf("%d slots can't be used over %d connections", service.Slots, service.MaxConnections),
			"raise the number of connections or reduce the slots")
	}
	coldRate, coldDuration := c.schema.at(service.Place, FieldColdRate), c.schema.at(service.Place, FieldColdDuration)
	if service.ColdDuration < 0 {
		c.invalid(coldDuration, "the duration for which a backend server is cold is negative", "give zero or more")
	}
	switch {
	case service.ColdRate < 0:
		c.invalid(coldRate, "the limit of a cold backend server is negative", "give zero for no limit, or a limit above zero")
	case service.ColdRate > 0 && service.MaxConnections > 0 && service.ColdRate > float64(service.MaxConnections):
		c.contradiction(coldRate, fmt.Sprintf("the limit of %g requests per second of a cold backend server is above the maximum of %d connections",
			service.ColdRate, service.MaxConnections), "reduce the limit or raise the maximum")
	case service.ColdRate > 0 && service.ColdDuration == 0:
		c.contradiction(coldRate, "there is a limit of a cold backend server, but no duration for which it is cold", "give the duration, or no limit")
	}
}

// checkReserved reports guaranteed shares that are out of range or add up to more than all slots of a service.
func (c *checker) checkReserved() {
	if !c.schema.has(FieldReserved) {
		return
	}
	sums := map[string]int64{}
	for _, route := range c.config.Routes {
		if route.Endless {
			continue
		}
		if route.Reserved < 0 || route.Reserved > percent {
			c.invalid(c.schema.at(route.Place, FieldReserved), fmt.Sprintf("the guaranteed share %d %% is out of range", route.Reserved),
				"give a share from 0 to 100")
			continue
		}
		sums[route.Owner] += route.Reserved
	}
	for _, service := range c.config.Services {
		if sum := sums[service.Name]; sum > percent {
			c.contradiction(service.Place, fmt.Sprintf("the guaranteed shares of service %s add up to %d %%", quote(service.Name), sum),
				"reduce them to a sum of at most 100")
		}
	}
}

// checkQueues reports queues whose last request would miss its timeout even if all slots served that queue alone.
func (c *checker) checkQueues() {
	slots := map[string]int64{}
	for _, service := range c.config.Services {
		slots[service.Name] = service.Slots
	}
	for _, route := range c.config.Routes {
		n := slots[route.Owner]
		if route.Endless || n <= 0 || route.QueueLimit <= 0 || route.TypicalDuration <= 0 || route.Timeout <= 0 || route.TypicalDuration > route.Timeout {
			continue
		}
		wait := float64(route.TypicalDuration) * float64(route.QueueLimit) / float64(n)
		if wait+float64(route.TypicalDuration) <= float64(route.Timeout) {
			continue
		}
		limit := int64(float64(route.Timeout-route.TypicalDuration) / float64(route.TypicalDuration) * float64(n))
		c.contradiction(c.schema.at(route.Place, FieldQueueLimit),
			fmt.Sprintf("the last of %d waiting requests would wait %v with all %d slots, so that it can't be answered within the timeout of %v",
				route.QueueLimit, clampDuration(wait).Round(time.Millisecond), n, route.Timeout),
			fmt.Sprintf("give a queue limit of at most %d", max(limit, 1)))
	}
}

func clampDuration(nanoseconds float64) time.Duration {
	if nanoseconds >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(nanoseconds)
}

// checkUnused reports services that no route sends flows to.
func (c *checker) checkUnused() {
	used := map[string]bool{}
	for _, route := range c.config.Routes {
		used[route.Owner] = true
		for _, share := range route.Shares {
			used[share.Service] = true
		}
	}
	for _, service := range c.config.Services {
		if service.Name == "" || used[service.Name] {
			continue
		}
		text := "service " + quote(service.Name) + " has no " + c.schema.Route
		if c.schema.ServiceNeedsRoute {
			c.invalid(service.Place, text, "give it at least one")
			continue
		}
		c.add(SeverityNote, ClassUnreachable, service.Place, text+", so that it receives no flow", "name it in a "+c.schema.Route+", or remove it")
	}
}
