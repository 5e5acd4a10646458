package audit

import (
	"net/netip"
	"testing"

	"github.com/onsi/gomega"
)

// testDifferences checks the findings of a changed configuration against the unchanged one in force.
func testDifferences(t *testing.T, cases map[string]findingCase, newConfig func() Config, schema Schema) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inForce, config := newConfig(), newConfig()
			if !schema.VersionIsBase {
				config.Version = inForce.Version + 1
			}
			c.change(&config)
			gomega.NewWithT(t).Expect(check(config, &inForce, schema)).To(gomega.Equal(c.want))
		})
	}
}

// Guards against a change of routes whose effect on open flows the operator learns only after sending it.
func TestDifferencesOfRoutes(t *testing.T) {
	testDifferences(t, map[string]findingCase{
		"address moved": {
			func(c *Config) { c.Routes[1].Address = netip.MustParseAddrPort("192.0.2.9:443") },
			[]string{`note difference routes[1].address: route "b" leaves the address 192.0.2.2:443: its open flows are reset`},
		},
		"field added": {
			func(c *Config) { c.Routes[1].Fields = append(c.Routes[1].Fields, Value{"urgency", "1"}) },
			[]string{`note difference routes[1].urgency: route "b": urgency is added with 1`},
		},
		"field changed": {
			func(c *Config) { c.Routes[0].Fields[0].Text = "3s" },
			[]string{`note difference routes[0].timeout: route "a": timeout changes from 2s to 3s`},
		},
		"field removed": {
			func(c *Config) { c.Routes[0].Fields = c.Routes[0].Fields[:1] },
			[]string{`note difference routes[0].urgency: route "a": urgency is removed, was 2`},
		},
		"general field changed": {
			func(c *Config) { c.Fields = []Value{{"idle", "5"}} },
			[]string{"note difference idle: idle is added with 5"},
		},
		"order changed": {func(c *Config) { c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0] }, []string{}},
		"route added": {
			func(c *Config) {
				added := c.Routes[1]
				added.Address, added.Name, added.Place = netip.MustParseAddrPort("192.0.2.9:443"), "c", "routes[2]"
				c.Routes = append(c.Routes, added)
			},
			[]string{`note difference routes[2]: route "c" is added`},
		},
		"route removed": {
			func(c *Config) { c.Routes = c.Routes[:1] },
			[]string{`note difference routes: route "b" is removed: its open flows are reset`},
		},
		"route renamed": {
			func(c *Config) { c.Routes[1].Name = "c" },
			[]string{
				`note difference routes: route "b" is removed, but another one has its address 192.0.2.2:443 and keeps its open flows`,
				`note difference routes[1]: route "c" is added`,
			},
		},
		"service added and removed": {
			func(c *Config) {
				c.Services[1].Name, c.Routes[0].Shares[1].Service, c.Routes[1].Shares[0].Service = "u", "u", "u"
			},
			[]string{`note difference services: service "t" is removed`, `note difference services[1]: service "u" is added`},
		},
		"service changed": {
			func(c *Config) { c.Services[0].Fields = []Value{{"connections", "10"}} },
			[]string{`note difference services[0].connections: service "s": connections changes from 2000 to 10`},
		},
		"version equal with other content": {
			func(c *Config) { c.Version, c.Routes[0].Fields[0].Text = 7, "3s" },
			[]string{
				"error invalid version: the version 7 does not rise above version 7, which is in force, so that it would be ignored",
				`note difference routes[0].timeout: route "a": timeout changes from 2s to 3s`,
			},
		},
		"version lower": {
			func(c *Config) { c.Version = 6 },
			[]string{"error invalid version: the version 6 does not rise above version 7, which is in force, so that it would be ignored"},
		},
	}, newRoutes, routeSchema)
}

// Guards against a removed service or kind that is not reported, or that is reported once for each of its kinds.
func TestDifferencesOfKinds(t *testing.T) {
	testDifferences(t, map[string]findingCase{
		"address moved": {
			func(c *Config) { c.Services[1].Address = netip.MustParseAddrPort("192.0.2.9:443") },
			[]string{`note difference services[1].address: service "t" leaves the address 192.0.2.2:443: its open flows are dropped`},
		},
		"base differs": {
			func(c *Config) { c.Version = 2 },
			[]string{"error invalid base: the change is based on version 2, but version 3 is in force"},
		},
		"kind removed": {
			func(c *Config) { c.Routes = c.Routes[1:] },
			[]string{`note difference services: kind "x" is removed from service "s": its requests match another one or none`},
		},
		"service removed": {
			func(c *Config) { c.Routes, c.Services = c.Routes[:2], c.Services[:1] },
			[]string{`note difference services: service "t" is removed: its open flows are dropped`},
		},
	}, newKinds, kindSchema)
}
