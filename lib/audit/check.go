package audit

import (
	"fmt"
	"net/netip"
)

// checker collects the findings of one configuration.
type checker struct {
	config   Config
	findings []Finding
	schema   Schema
	services map[string]bool // names of the configuration's services
}

// Check returns the findings of a configuration and, unless inForce is nil, its differences from the version in force. Merge
// sorts them.
func Check(config Config, inForce *Config, schema Schema) []Finding {
	c := &checker{config: config, schema: schema, services: map[string]bool{}}
	for _, service := range config.Services {
		c.services[service.Name] = true
	}
	c.checkRoutes()
	c.checkServices()
	c.checkIdleTimeout()
	c.checkVersion()
	if inForce != nil {
		c.compareVersions(*inForce)
		c.compareConfigs(*inForce)
	}
	return c.findings
}

func (c *checker) add(severity Severity, class Class, place, text, remedy string) {
	c.findings = append(c.findings, Finding{Class: class, Place: place, Remedy: remedy, Severity: severity, Text: text})
}

func (c *checker) invalid(place, text, remedy string) {
	c.add(SeverityError, ClassInvalid, place, text, remedy)
}

func (c *checker) contradiction(place, text, remedy string) {
	c.add(SeverityError, ClassContradiction, place, text, remedy)
}

func (c *checker) label(r Route) string { return c.schema.Route + " " + quote(r.Name) }

// checkAddress reports an address that flows can't be sent to.
func (c *checker) checkAddress(place string, address netip.AddrPort) {
	if !address.Addr().Is4() {
		c.invalid(c.schema.at(place, FieldAddress), "the address is missing or not an IPv4 address", "give one such as 192.0.2.1")
	}
	if address.Port() > 0 {
		return
	}
	field := FieldAddress
	if c.schema.has(FieldPort) {
		field = FieldPort
	}
	c.invalid(c.schema.at(place, field), "the port is missing or zero", "give a port from 1 to 65535")
}

// canReceive reports whether flows can be sent to an address.
func canReceive(address netip.AddrPort) bool { return address.Addr().Is4() && address.Port() > 0 }

// checkPositive reports a value of zero or below.
func (c *checker) checkPositive(place string, field Field, value int64, what string) {
	if c.schema.has(field) && value <= 0 {
		c.invalid(c.schema.at(place, field), "the "+what+" is missing, zero or negative", "give a "+what+" above zero")
	}
}

func (c *checker) checkIdleTimeout() {
	idle := c.config.IdleTimeout
	if !c.schema.has(FieldIdleTimeout) || idle == 0 {
		return
	}
	place := c.schema.Names[FieldIdleTimeout]
	if idle < 0 {
		c.invalid(place, "the idle timeout is negative", "give one above zero")
		return
	}
	var longest Route
	for _, route := range c.config.Routes {
		if route.Timeout > longest.Timeout {
			longest = route
		}
	}
	if longest.Timeout > idle {
		c.contradiction(place, fmt.Sprintf("the idle timeout of %v is shorter than the timeout of %v of %s, so that a flow may be forgotten "+
			"while its request runs", idle, longest.Timeout, c.label(longest)), "give an idle timeout of at least the longest timeout of a request")
	}
}

func (c *checker) checkVersion() {
	if !c.schema.VersionIsBase && c.config.Version == 0 {
		c.invalid(c.schema.Names[FieldVersion], "the version is missing or zero", "give a version above the one in force")
	}
}
