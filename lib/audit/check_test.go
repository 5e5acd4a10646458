package audit

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// routeSchema is a format whose routes have addresses, and kindSchema one whose routes belong to services.
var (
	routeSchema = Schema{
		Names: map[Field]string{
			FieldAddress: "address", FieldColdDuration: "cold", FieldColdRate: "coldRate", FieldIdleTimeout: "idle",
			FieldLatencyTarget: "target", FieldMaxConnections: "connections", FieldName: "name", FieldPort: "port",
			FieldService: "service", FieldTimeout: "timeout", FieldVersion: "version", FieldWeight: "weight",
		},
		Route: "route", Routes: "routes", Services: "services",
	}
	kindSchema = Schema{
		FirstMatchWins: true,
		Names: map[Field]string{
			FieldAddress: "address", FieldID: "id", FieldMaxConnections: "connections", FieldName: "name", FieldQueueLimit: "queueLimit",
			FieldReserved: "share", FieldSlots: "slots", FieldTimeout: "timeout", FieldTypicalDuration: "typical", FieldVersion: "base",
		},
		RemovedServiceText: "its open flows are dropped",
		Route:              "kind", Routes: "services", ServiceNeedsRoute: true, Services: "services", VersionIsBase: true,
	}
)

// newRoutes returns a configuration without findings: a route with two shares, and one with a single service.
func newRoutes() Config {
	return Config{
		IdleTimeout: 15 * time.Second,
		Routes: []Route{
			{
				Address: netip.MustParseAddrPort("192.0.2.1:443"), Fields: []Value{{"timeout", "2s"}, {"urgency", "2"}}, LatencyTarget: 300 * time.Millisecond,
				Name: "a", Place: "routes[0]", Timeout: 2 * time.Second,
				Shares: []Share{{Place: "routes[0].shares[0]", Service: "s", Weight: 90}, {Place: "routes[0].shares[1]", Service: "t", Weight: 10}},
			},
			{
				Address: netip.MustParseAddrPort("192.0.2.2:443"), Fields: []Value{{"timeout", "5s"}}, LatencyTarget: 500 * time.Millisecond,
				Name: "b", Place: "routes[1]", Shares: []Share{{Place: "routes[1]", Service: "t", Weight: 1}}, Timeout: 5 * time.Second,
			},
		},
		Services: []Service{
			{ColdDuration: 10 * time.Second, ColdRate: 20, Fields: []Value{{"connections", "2000"}}, MaxConnections: 2000, Name: "s", Place: "services[0]"},
			{MaxConnections: 2000, Name: "t", Place: "services[1]"},
		},
		ServicesListed: true,
		Version:        7,
	}
}

// newKinds returns a configuration without findings: a service with two kinds and one with an endless kind.
func newKinds() Config {
	return Config{
		Routes: []Route{
			{
				Method: "GET", Name: "x", Owner: "s", PathPrefix: "/x", Place: "services[0].kinds[0]", QueueLimit: 50, Reserved: 60,
				Timeout: 5 * time.Second, TypicalDuration: 20 * time.Millisecond,
			},
			{
				Method: "GET", Name: "y", Owner: "s", PathPrefix: "/", Place: "services[0].kinds[1]", QueueLimit: 50, Reserved: 40,
				Timeout: 5 * time.Second, TypicalDuration: 20 * time.Millisecond,
			},
			{Endless: true, Method: "GET", Name: "x", Owner: "t", PathPrefix: "/feed", Place: "services[1].kinds[0]"},
		},
		Services: []Service{
			{Address: netip.MustParseAddrPort("192.0.2.1:443"), ID: 1, MaxConnections: 100, Name: "s", Place: "services[0]", Slots: 7},
			{Address: netip.MustParseAddrPort("192.0.2.2:443"), ID: 2, MaxConnections: 100, Name: "t", Place: "services[1]", Slots: 7},
		},
		Version: 3,
	}
}

// check returns the merged findings without their remedies, as "severity class place: text".
func check(config Config, inForce *Config, schema Schema) []string {
	lines := []string{}
	for _, finding := range Merge(nil, Check(config, inForce, schema)) {
		lines = append(lines, string(finding.Severity)+" "+string(finding.Class)+" "+finding.Place+": "+finding.Text)
	}
	return lines
}

// finding is a case of the tables below: a change of a good configuration and the findings that it must cause.
type findingCase struct {
	change func(c *Config)
	want   []string
}

func testCases(t *testing.T, cases map[string]findingCase, newConfig func() Config, schema Schema) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			config := newConfig()
			c.change(&config)
			gomega.NewWithT(t).Expect(check(config, nil, schema)).To(gomega.Equal(c.want))
		})
	}
}

// Guards against findings about configurations that are used as they are.
func TestGoodConfigurationsHaveNoFindings(t *testing.T) {
	g := gomega.NewWithT(t)
	routes, kinds := newRoutes(), newKinds()
	g.Expect(check(routes, nil, routeSchema)).To(gomega.BeEmpty())
	g.Expect(check(kinds, nil, kindSchema)).To(gomega.BeEmpty())
	g.Expect(check(kinds, &kinds, kindSchema)).To(gomega.BeEmpty())
	g.Expect(check(routes, &routes, routeSchema)).To(gomega.Equal([]string{
		"note difference version: version 7 is in force already, with the same content",
	}))
}

// Guards against an error of a route that is not reported, or at the wrong place.
func TestFindingsOfRoutes(t *testing.T) {
	testCases(t, map[string]findingCase{
		"address missing": {
			func(c *Config) { c.Routes[0].Address = netip.AddrPort{} },
			[]string{"error invalid routes[0].address: the address is missing or not an IPv4 address", "error invalid routes[0].port: the port is missing or zero"},
		},
		"address of IPv6": {
			func(c *Config) { c.Routes[0].Address = netip.MustParseAddrPort("[2001:db8::1]:443") },
			[]string{"error invalid routes[0].address: the address is missing or not an IPv4 address"},
		},
		"address twice": {
			func(c *Config) { c.Routes[1].Address = c.Routes[0].Address },
			[]string{`error unreachable routes[0]: route "a" never matches: route "b" (routes[1]) has the same address and port 192.0.2.1:443 and takes precedence`},
		},
		"idle timeout negative": {
			func(c *Config) { c.IdleTimeout = -1 },
			[]string{"error invalid idle: the idle timeout is negative"},
		},
		"idle timeout short": {
			func(c *Config) { c.IdleTimeout = 3 * time.Second },
			[]string{`error contradiction idle: the idle timeout of 3s is shorter than the timeout of 5s of route "b", so that a flow may be forgotten while its request runs`},
		},
		"idle timeout not stated": {func(c *Config) { c.IdleTimeout = 0 }, []string{}},
		"latency target negative": {
			func(c *Config) { c.Routes[0].LatencyTarget = -1 },
			[]string{"error invalid routes[0].target: the latency target is missing, zero or negative"},
		},
		"latency target over timeout": {
			func(c *Config) { c.Routes[0].LatencyTarget = 3 * time.Second },
			[]string{"error contradiction routes[0].target: the latency target of 3s is above the timeout of 2s"},
		},
		"name missing": {
			func(c *Config) { c.Routes[0].Name = "" },
			[]string{"error invalid routes[0].name: the route has no name"},
		},
		"name twice": {
			func(c *Config) { c.Routes[1].Name = "a" },
			[]string{`error invalid routes[1].name: the name "a" is also that of routes[0]`},
		},
		"service missing": {
			func(c *Config) { c.Routes[1].Shares = nil },
			[]string{"error invalid routes[1].service: the route has no service"},
		},
		"service twice": {
			func(c *Config) { c.Routes[0].Shares[1].Service = "s" },
			[]string{`error invalid routes[0].shares[1].service: the service "s" is named twice by the same route`},
		},
		"service unknown": {
			func(c *Config) { c.Routes[1].Shares[0].Service = "u" },
			[]string{`error invalid routes[1].service: the service "u" is not among the services`},
		},
		"services not listed": {func(c *Config) { c.Services, c.ServicesListed = nil, false }, []string{}},
		"timeout zero": {
			func(c *Config) { c.Routes[0].Timeout = 0 },
			[]string{"error invalid routes[0].timeout: the timeout is missing, zero or negative"},
		},
		"version missing": {func(c *Config) { c.Version = 0 }, []string{"error invalid version: the version is missing or zero"}},
		"weight negative": {
			func(c *Config) { c.Routes[0].Shares[1].Weight = -1 },
			[]string{"error invalid routes[0].shares[1].weight: the weight -1 is negative"},
		},
		"weight zero beside others": {
			func(c *Config) { c.Routes[0].Shares[1].Weight = 0 },
			[]string{`note unreachable routes[0].shares[1].weight: the share has weight 0 beside others, so that "t" receives no new flow`},
		},
		"weights all zero": {
			func(c *Config) { c.Routes[0].Shares[0].Weight, c.Routes[0].Shares[1].Weight = 0, 0 },
			[]string{
				"error invalid routes[0].shares[0].weight: no share of the route has a weight above zero",
				"error invalid routes[0].shares[1].weight: no share of the route has a weight above zero",
			},
		},
	}, newRoutes, routeSchema)
}

// Guards against limits of a service that contradict each other without a finding.
func TestFindingsOfServices(t *testing.T) {
	testCases(t, map[string]findingCase{
		"cold limit negative": {
			func(c *Config) { c.Services[0].ColdRate = -1 },
			[]string{"error invalid services[0].coldRate: the limit of a cold backend server is negative"},
		},
		"cold limit over connections": {
			func(c *Config) { c.Services[0].ColdRate = 2001 },
			[]string{"error contradiction services[0].coldRate: the limit of 2001 requests per second of a cold backend server is above the maximum of 2000 connections"},
		},
		"cold limit without duration": {
			func(c *Config) { c.Services[0].ColdDuration = 0 },
			[]string{"error contradiction services[0].coldRate: there is a limit of a cold backend server, but no duration for which it is cold"},
		},
		"connections zero": {
			func(c *Config) { c.Services[1].MaxConnections = 0 },
			[]string{"error invalid services[1].connections: the maximum number of connections is missing, zero or negative"},
		},
		"name twice": {
			func(c *Config) { c.Services[1].Name = "s"; c.ServicesListed = false },
			[]string{`error invalid services[1].name: the name "s" is also that of services[0]`},
		},
		"without a route": {
			func(c *Config) { c.Routes[0].Shares = c.Routes[0].Shares[1:] },
			[]string{`note unreachable services[0]: service "s" has no route, so that it receives no flow`},
		},
	}, newRoutes, routeSchema)
}

// Guards against kinds of work that can't be served as stated without a finding.
func TestFindingsOfKinds(t *testing.T) {
	testCases(t, map[string]findingCase{
		"address twice": {
			func(c *Config) { c.Services[1].Address = c.Services[0].Address },
			[]string{"error invalid services[1].address: the address 192.0.2.1:443 is also that of services[0]"},
		},
		"ID out of range": {
			func(c *Config) { c.Services[0].ID = math.MaxUint16 + 1 },
			[]string{"error invalid services[0].id: the ID is missing or out of range"},
		},
		"ID twice": {
			func(c *Config) { c.Services[1].ID = 1 },
			[]string{"error invalid services[1].id: the ID 1 is also that of services[0]"},
		},
		"name twice in a service": {
			func(c *Config) { c.Routes[1].Name = "x" },
			[]string{`error invalid services[0].kinds[1].name: the name "x" is also that of services[0].kinds[0]`},
		},
		"no kinds": {
			func(c *Config) { c.Routes = c.Routes[:2] },
			[]string{`error invalid services[1]: service "t" has no kind`},
		},
		"queue limit over timeout": {
			func(c *Config) { c.Routes[1].QueueLimit = 1744 },
			[]string{"error contradiction services[0].kinds[1].queueLimit: the last of 1744 waiting requests would wait 4.983s with all 7 slots, so that it can't be answered within the timeout of 5s"},
		},
		"queue limit within timeout": {func(c *Config) { c.Routes[1].QueueLimit = 1743 }, []string{}},
		"shadowed": {func(c *Config) { c.Routes[0].PathPrefix, c.Routes[1].PathPrefix = "/", "/y" }, []string{
			`error unreachable services[0].kinds[1]: kind "y" never matches: kind "x" (services[0].kinds[0]) has the same method and a path prefix that covers this one and takes precedence`,
		}},
		"share out of range": {
			func(c *Config) { c.Routes[0].Reserved = -1 },
			[]string{"error invalid services[0].kinds[0].share: the guaranteed share -1 % is out of range"},
		},
		"shares over all slots": {
			func(c *Config) { c.Routes[0].Reserved = 61 },
			[]string{`error contradiction services[0]: the guaranteed shares of service "s" add up to 101 %`},
		},
		"slots over connections": {
			func(c *Config) { c.Services[1].Slots = 101 },
			[]string{"error contradiction services[1].slots: 101 slots can't be used over 100 connections"},
		},
		"typical duration over timeout": {
			func(c *Config) { c.Routes[0].TypicalDuration = 6 * time.Second },
			[]string{"error contradiction services[0].kinds[0].typical: the typical duration of 6s is above the timeout of 5s"},
		},
	}, newKinds, kindSchema)
}
