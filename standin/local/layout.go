package local

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/store"
	"github.com/cyclamendock/cyclamendock/lib/trace"
)

// loopback is the only network that the processes trust.
const loopback = "127.0.0.0/8"

// assignAddresses fills in the balancers, backend servers and services with their names, zones and addresses.
func (c *Cluster) assignAddresses() error {
	deployment := c.config.Deployment
	var lastErr error
	allocate := func() netip.AddrPort {
		address, err := c.ports.allocate()
		if err != nil {
			lastErr = err
		}
		return address
	}
	c.PlatformAddress = allocate()
	c.objects = store.NewClient(store.ClientConfig{URL: "http://" + c.PlatformAddress.String()})
	for i := range deployment.Balancers {
		zone := deployment.Zones[i%len(deployment.Zones)]
		c.Balancers = append(c.Balancers, Balancer{
			Address:        allocate(),
			FrontAddress:   allocate(),
			MetricsAddress: allocate(),
			Name:           fmt.Sprintf("balancer-%d", i+1),
			Zone:           zone,
		})
	}
	for _, spec := range deployment.Services {
		c.ServiceAddresses[spec.Name] = allocate()
		for i := range spec.Backends {
			c.Backends = append(c.Backends, Backend{
				AgentAddress:   allocate(),
				MetricsAddress: allocate(),
				Name:           fmt.Sprintf("%s-%d", spec.Name, i+1),
				ServerAddress:  allocate(),
				Service:        spec.Name,
				Zone:           deployment.Zones[i%len(deployment.Zones)],
			})
		}
	}
	return lastErr
}

func (c *Cluster) startProcesses() error {
	if err := c.startProcess("platform", "standin", "platform", "--address", c.PlatformAddress.String()); err != nil {
		return err
	}
	if err := c.startFabric(); err != nil {
		return err
	}
	for _, balancer := range c.Balancers {
		if err := c.startBalancer(balancer); err != nil {
			return err
		}
	}
	for _, backend := range c.Backends {
		if err := c.startBackend(backend); err != nil {
			return err
		}
	}
	return c.writeSettings("operator", map[string]any{
		"balancers":   c.seedAddresses(),
		"platformUrl": "http://" + c.PlatformAddress.String(),
	})
}

func (c *Cluster) startFabric() error {
	arguments := []string{"fabric", "--seed", fmt.Sprint(c.config.Seed)}
	for _, spec := range c.config.Deployment.Services {
		arguments = append(arguments, "--service", c.ServiceAddresses[spec.Name].String())
	}
	for _, balancer := range c.Balancers {
		arguments = append(arguments, "--balancer", balancer.FrontAddress.String()+"@"+balancer.MetricsAddress.String())
	}
	return c.startProcess("fabric", "standin", arguments...)
}

func (c *Cluster) startBalancer(b Balancer) error {
	settings := c.commonSettings(b.Name, b.Zone, b.Address, b.MetricsAddress)
	settings["fabricNetworks"] = []string{loopback}
	settings["frontAddress"] = b.FrontAddress.String()
	if err := c.writeSettings(b.Name, settings); err != nil {
		return err
	}
	return c.startProcess(b.Name, "balancer", "--settings", c.settingsPath(b.Name))
}

func (c *Cluster) startBackend(b Backend) error {
	spec := c.serviceSpec(b.Service)
	serverName := "server-" + b.Name
	if err := c.startProcess(serverName, "standin", "server",
		"--address", b.ServerAddress.String(), "--name", b.Name, "--trace", c.traceOutput(serverName),
		"--slots", fmt.Sprint(spec.Slots), "--typical", spec.ServiceTime.String()); err != nil {
		return err
	}
	settings := c.commonSettings(b.Name, b.Zone, b.AgentAddress, b.MetricsAddress)
	settings["backendServer"] = b.ServerAddress.String()
	settings["placement"] = c.config.PlacementPolicy
	settings["service"] = b.Service
	if err := c.writeSettings(b.Name, settings); err != nil {
		return err
	}
	return c.startProcess(b.Name, "agent", "--settings", c.settingsPath(b.Name))
}

func (c *Cluster) serviceSpec(service string) ServiceSpec {
	for _, spec := range c.config.Deployment.Services {
		if spec.Name == service {
			return spec
		}
	}
	return ServiceSpec{}
}

// commonSettings returns the settings that balancers and agents have in common.
func (c *Cluster) commonSettings(name, zone string, address, metrics netip.AddrPort) map[string]any {
	settings := map[string]any{
		"address":          address.String(),
		"availabilityZone": zone,
		"metricsAddress":   metrics.String(),
		"name":             name,
		"platformUrl":      "http://" + c.PlatformAddress.String(),
		"region":           c.config.Deployment.Region,
		"seeds":            c.seedAddresses(),
		"trustedNetworks":  []string{loopback},
	}
	settings["trace"] = map[string]any{"output": c.traceOutput(name), "ratio": 1}
	return settings
}

func (c *Cluster) traceOutput(name string) string {
	if !c.config.Trace {
		return trace.Off
	}
	return filepath.Join(c.config.WorkDir, "trace-"+name+".json")
}

func (c *Cluster) seedAddresses() []string {
	var seeds []string
	for _, balancer := range c.Balancers {
		seeds = append(seeds, balancer.Address.String())
	}
	return seeds
}

func (c *Cluster) settingsPath(name string) string {
	return filepath.Join(c.config.WorkDir, strings.ReplaceAll(name, "/", "-")+".settings.json")
}

func (c *Cluster) writeSettings(name string, settings map[string]any) error {
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return fault.Wrap(err, fault.Internal, "settings can't be encoded", "report this")
	}
	if err := os.WriteFile(c.settingsPath(name), append(b, '\n'), 0o644); err != nil {
		return fault.Wrap(err, fault.Invalid, "settings can't be written", "choose a writable directory")
	}
	return nil
}
