package audit

import (
	"fmt"
	"net/netip"
	"slices"
)

// flowsDropped says what happens to flows whose address no route has any more.
const flowsDropped = "its open flows are reset"

// compareVersions reports a version that the balancers would not take.
func (c *checker) compareVersions(inForce Config) {
	place, version := c.schema.Names[FieldVersion], c.config.Version
	switch {
	case c.schema.VersionIsBase && version != inForce.Version:
		c.invalid(place, fmt.Sprintf("the change is based on version %d, but version %d is in force", version, inForce.Version),
			"check that the change still fits and base it on the version in force")
	case c.schema.VersionIsBase || version > inForce.Version || version == 0:
	case version == inForce.Version && slices.Equal(summarize(c.config), summarize(inForce)):
		c.add(SeverityNote, ClassDifference, place, fmt.Sprintf("version %d is in force already, with the same content", version), "nothing needs to be sent")
	default:
		c.invalid(place, fmt.Sprintf("the version %d does not rise above version %d, which is in force, so that it would be ignored", version, inForce.Version),
			fmt.Sprintf("give a version of at least %d", inForce.Version+1))
	}
}

// summarize returns all values of a configuration that are compared, in order.
func summarize(config Config) []Value {
	values := slices.Clone(config.Fields)
	for _, route := range config.Routes {
		values = append(append(values, Value{Name: route.Owner, Text: route.Name}), route.Fields...)
	}
	for _, service := range config.Services {
		values = append(append(values, Value{Text: service.Name}), service.Fields...)
	}
	return values
}

func (c *checker) difference(place, text, remedy string) {
	c.add(SeverityNote, ClassDifference, place, text, remedy)
}

func (c *checker) compareConfigs(inForce Config) {
	c.compareFields("", "", inForce.Fields, c.config.Fields)
	c.compareRoutes(inForce)
	c.compareServices(inForce)
}

func (c *checker) compareRoutes(inForce Config) {
	before, after := map[nameKey]Route{}, map[nameKey]bool{}
	owners, served := map[string]bool{"": true}, map[netip.AddrPort]bool{}
	for _, service := range inForce.Services {
		owners[service.Name] = c.services[service.Name]
	}
	for _, route := range inForce.Routes {
		before[route.nameKey()] = route
	}
	for _, route := range c.config.Routes {
		after[route.nameKey()] = true
		served[route.Address] = true
	}
	for _, route := range c.config.Routes {
		old, exists := before[route.nameKey()]
		switch {
		case !owners[route.Owner]: // reported as an added service
			continue
		case !exists:
			c.difference(route.Place, c.label(route)+" is added", "")
			continue
		}
		c.compareFields(route.Place, c.label(route)+": ", old.Fields, route.Fields)
		if route.Owner == "" && canReceive(old.Address) && old.Address != route.Address && !served[old.Address] {
			c.difference(c.schema.at(route.Place, FieldAddress), c.label(route)+" leaves the address "+old.Address.String()+": "+flowsDropped,
				"keep a route with the old address until its flows have ended")
		}
	}
	for _, route := range inForce.Routes {
		if owners[route.Owner] && !after[route.nameKey()] {
			c.removeRoute(route, served)
		}
	}
}

// removeRoute reports a removed route and whether its open flows are reset.
func (c *checker) removeRoute(route Route, served map[netip.AddrPort]bool) {
	text := c.label(route) + " is removed"
	switch {
	case route.Owner != "":
		c.difference(c.schema.Routes, text+" from service "+quote(route.Owner)+": its requests match another one or none", "")
	case served[route.Address]:
		c.difference(c.schema.Routes, text+", but another one has its address "+route.Address.String()+" and keeps its open flows", "")
	default:
		c.difference(c.schema.Routes, text+": "+flowsDropped, "keep it until its flows have ended, unless this is intended")
	}
}

func (c *checker) compareServices(inForce Config) {
	before, after := map[string]Service{}, map[string]bool{}
	for _, service := range inForce.Services {
		before[service.Name] = service
	}
	for _, service := range c.config.Services {
		after[service.Name] = true
		label := "service " + quote(service.Name)
		old, exists := before[service.Name]
		if !exists {
			c.difference(service.Place, label+" is added", "")
			continue
		}
		c.compareFields(service.Place, label+": ", old.Fields, service.Fields)
		if c.schema.RemovedServiceText != "" && old.Address != service.Address && !c.serves(old.Address) {
			c.difference(c.schema.at(service.Place, FieldAddress), label+" leaves the address "+old.Address.String()+": "+c.schema.RemovedServiceText,
				"drain its backend servers first, unless this is intended")
		}
	}
	for _, service := range inForce.Services {
		if after[service.Name] {
			continue
		}
		text := "service " + quote(service.Name) + " is removed"
		if c.schema.RemovedServiceText == "" {
			c.difference(c.schema.Services, text, "")
			continue
		}
		c.difference(c.schema.Services, text+": "+c.schema.RemovedServiceText, "drain its backend servers first, unless this is intended")
	}
}

// serves reports whether a service has an address.
func (c *checker) serves(address netip.AddrPort) bool {
	return slices.ContainsFunc(c.config.Services, func(service Service) bool { return service.Address == address })
}

// compareFields reports each field whose value differs, in order of the names.
func (c *checker) compareFields(place, label string, before, after []Value) {
	old, current := map[string]string{}, map[string]string{}
	var names []string
	for _, value := range before {
		old[value.Name] = value.Text
		names = append(names, value.Name)
	}
	for _, value := range after {
		current[value.Name] = value.Text
		names = append(names, value.Name)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		was, wasStated := old[name]
		is, isStated := current[name]
		switch {
		case !wasStated:
			c.difference(At(place, name), label+name+" is added with "+shorten(is), "")
		case !isStated:
			c.difference(At(place, name), label+name+" is removed, was "+shorten(was), "")
		case was != is:
			c.difference(At(place, name), label+name+" changes from "+shorten(was)+" to "+shorten(is), "")
		}
	}
}
