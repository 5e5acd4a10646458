package stage

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
func (s *Stage) assignAddresses() error {
	deployment := s.config.Deployment
	var lastErr error
	allocate := func() netip.AddrPort {
		address, err := s.ports.allocate()
		if err != nil {
			lastErr = err
		}
		return address
	}
	s.PlatformAddress = allocate()
	s.objects = store.NewClient(store.ClientConfig{URL: "http://" + s.PlatformAddress.String()})
	for i := range deployment.Balancers {
		zone := deployment.Zones[i%len(deployment.Zones)]
		s.Balancers = append(s.Balancers, Balancer{
			Address:        allocate(),
			FrontAddress:   allocate(),
			MetricsAddress: allocate(),
			Name:           fmt.Sprintf("balancer-%d", i+1),
			Zone:           zone,
		})
	}
	for _, plan := range deployment.Services {
		s.Services[plan.Name] = allocate()
		for i := range plan.Backends {
			s.Backends = append(s.Backends, Backend{
				AgentAddress:   allocate(),
				MetricsAddress: allocate(),
				Name:           fmt.Sprintf("%s-%d", plan.Name, i+1),
				ServerAddress:  allocate(),
				Service:        plan.Name,
				Zone:           deployment.Zones[i%len(deployment.Zones)],
			})
		}
	}
	return lastErr
}

func (s *Stage) startProcesses() error {
	if err := s.startProcess("platform", "standin", "platform", "--address", s.PlatformAddress.String()); err != nil {
		return err
	}
	if err := s.startFabric(); err != nil {
		return err
	}
	for _, balancer := range s.Balancers {
		if err := s.startBalancer(balancer); err != nil {
			return err
		}
	}
	for _, backend := range s.Backends {
		if err := s.startBackend(backend); err != nil {
			return err
		}
	}
	return s.writeSettings("operator", map[string]any{
		"balancers":   s.seedAddresses(),
		"platformUrl": "http://" + s.PlatformAddress.String(),
	})
}

func (s *Stage) startFabric() error {
	arguments := []string{"fabric", "--seed", fmt.Sprint(s.config.Seed)}
	for _, plan := range s.config.Deployment.Services {
		arguments = append(arguments, "--service", s.Services[plan.Name].String())
	}
	for _, balancer := range s.Balancers {
		arguments = append(arguments, "--balancer", balancer.FrontAddress.String()+"@"+balancer.MetricsAddress.String())
	}
	return s.startProcess("fabric", "standin", arguments...)
}

func (s *Stage) startBalancer(b Balancer) error {
	settings := s.commonSettings(b.Name, b.Zone, b.Address, b.MetricsAddress)
	settings["fabricNetworks"] = []string{loopback}
	settings["frontAddress"] = b.FrontAddress.String()
	if err := s.writeSettings(b.Name, settings); err != nil {
		return err
	}
	return s.startProcess(b.Name, "balancer", "--settings", s.settingsPath(b.Name))
}

func (s *Stage) startBackend(b Backend) error {
	plan := s.servicePlan(b.Service)
	serverName := "server-" + b.Name
	if err := s.startProcess(serverName, "standin", "server",
		"--address", b.ServerAddress.String(), "--name", b.Name, "--trace", s.traceOutput(serverName),
		"--slots", fmt.Sprint(plan.Slots), "--typical", plan.Typical.String()); err != nil {
		return err
	}
	settings := s.commonSettings(b.Name, b.Zone, b.AgentAddress, b.MetricsAddress)
	settings["backendServer"] = b.ServerAddress.String()
	settings["placement"] = s.config.Placement
	settings["service"] = b.Service
	if err := s.writeSettings(b.Name, settings); err != nil {
		return err
	}
	return s.startProcess(b.Name, "agent", "--settings", s.settingsPath(b.Name))
}

func (s *Stage) servicePlan(service string) ServicePlan {
	for _, plan := range s.config.Deployment.Services {
		if plan.Name == service {
			return plan
		}
	}
	return ServicePlan{}
}

// commonSettings returns the settings that balancers and agents have in common.
func (s *Stage) commonSettings(name, zone string, address, metrics netip.AddrPort) map[string]any {
	settings := map[string]any{
		"address":          address.String(),
		"availabilityZone": zone,
		"metricsAddress":   metrics.String(),
		"name":             name,
		"platformUrl":      "http://" + s.PlatformAddress.String(),
		"region":           s.config.Deployment.Region,
		"seeds":            s.seedAddresses(),
		"trustedNetworks":  []string{loopback},
	}
	settings["trace"] = map[string]any{"output": s.traceOutput(name), "ratio": 1}
	return settings
}

func (s *Stage) traceOutput(name string) string {
	if !s.config.Trace {
		return trace.Off
	}
	return filepath.Join(s.config.Dir, "trace-"+name+".json")
}

func (s *Stage) seedAddresses() []string {
	var seeds []string
	for _, balancer := range s.Balancers {
		seeds = append(seeds, balancer.Address.String())
	}
	return seeds
}

func (s *Stage) settingsPath(name string) string {
	return filepath.Join(s.config.Dir, strings.ReplaceAll(name, "/", "-")+".settings.json")
}

func (s *Stage) writeSettings(name string, settings map[string]any) error {
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return fault.Wrap(err, fault.Internal, "settings can't be encoded", "report this")
	}
	if err := os.WriteFile(s.settingsPath(name), append(b, '\n'), 0o644); err != nil {
		return fault.Wrap(err, fault.Invalid, "settings can't be written", "choose a writable directory")
	}
	return nil
}
