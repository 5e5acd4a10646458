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

// loopback is the only network in which a stage's processes trust each other.
const loopback = "127.0.0.0/8"

// layOut chooses names, zones and addresses.
func (l *Stage) layOut() error {
	d := l.config.Deployment
	var failed error
	take := func() netip.AddrPort {
		address, err := l.ports.take()
		if err != nil {
			failed = err
		}
		return address
	}
	l.Platform = take()
	l.platform = store.NewClient(store.ClientConfig{URL: "http://" + l.Platform.String()})
	for i := range d.Balancers {
		zone := d.Zones[i%len(d.Zones)]
		l.Balancers = append(l.Balancers, Balancer{
			Address: take(),
			Front:   take(),
			Metrics: take(),
			Name:    fmt.Sprintf("balancer-%d", i+1),
			Zone:    zone,
		})
	}
	for _, plan := range d.Services {
		l.Services[plan.Name] = take()
		for i := range plan.Backends {
			l.Backends = append(l.Backends, Backend{
				Agent:   take(),
				Metrics: take(),
				Name:    fmt.Sprintf("%s-%d", plan.Name, i+1),
				Server:  take(),
				Service: plan.Name,
				Zone:    d.Zones[i%len(d.Zones)],
			})
		}
	}
	return failed
}

func (l *Stage) startAll() error {
	if err := l.run("platform", "standin", "platform", "--address", l.Platform.String()); err != nil {
		return err
	}
	if err := l.startFabric(); err != nil {
		return err
	}
	for _, balancer := range l.Balancers {
		if err := l.startBalancer(balancer); err != nil {
			return err
		}
	}
	for _, backend := range l.Backends {
		if err := l.startBackend(backend); err != nil {
			return err
		}
	}
	return l.writeSettings("operator", map[string]any{
		"balancers":   l.seeds(),
		"platformUrl": "http://" + l.Platform.String(),
	})
}

func (l *Stage) startFabric() error {
	arguments := []string{"fabric", "--seed", fmt.Sprint(l.config.Seed)}
	for _, plan := range l.config.Deployment.Services {
		arguments = append(arguments, "--service", l.Services[plan.Name].String())
	}
	for _, balancer := range l.Balancers {
		arguments = append(arguments, "--balancer", balancer.Front.String()+"@"+balancer.Metrics.String())
	}
	return l.run("fabric", "standin", arguments...)
}

func (l *Stage) startBalancer(b Balancer) error {
	settings := l.common(b.Name, b.Zone, b.Address, b.Metrics)
	settings["fabricNetworks"] = []string{loopback}
	settings["frontAddress"] = b.Front.String()
	if err := l.writeSettings(b.Name, settings); err != nil {
		return err
	}
	return l.run(b.Name, "balancer", "--settings", l.settingsPath(b.Name))
}

func (l *Stage) startBackend(b Backend) error {
	plan := l.plan(b.Service)
	serverName := "server-" + b.Name
	if err := l.run(serverName, "standin", "server",
		"--address", b.Server.String(), "--name", b.Name, "--trace", l.traceOutput(serverName),
		"--slots", fmt.Sprint(plan.Slots), "--typical", plan.Typical.String()); err != nil {
		return err
	}
	settings := l.common(b.Name, b.Zone, b.Agent, b.Metrics)
	settings["backendServer"] = b.Server.String()
	settings["placement"] = l.config.Placement
	settings["service"] = b.Service
	if err := l.writeSettings(b.Name, settings); err != nil {
		return err
	}
	return l.run(b.Name, "agent", "--settings", l.settingsPath(b.Name))
}

func (l *Stage) plan(service string) ServicePlan {
	for _, plan := range l.config.Deployment.Services {
		if plan.Name == service {
			return plan
		}
	}
	return ServicePlan{}
}

// common returns the settings that balancers and agents share.
func (l *Stage) common(name, zone string, address, metrics netip.AddrPort) map[string]any {
	settings := map[string]any{
		"address":          address.String(),
		"availabilityZone": zone,
		"metricsAddress":   metrics.String(),
		"name":             name,
		"platformUrl":      "http://" + l.Platform.String(),
		"region":           l.config.Deployment.Region,
		"seeds":            l.seeds(),
		"trustedNetworks":  []string{loopback},
	}
	settings["trace"] = map[string]any{"output": l.traceOutput(name), "ratio": 1}
	return settings
}

func (l *Stage) traceOutput(name string) string {
	if !l.config.Trace {
		return trace.Off
	}
	return filepath.Join(l.config.Dir, "trace-"+name+".json")
}

func (l *Stage) seeds() []string {
	var seeds []string
	for _, balancer := range l.Balancers {
		seeds = append(seeds, balancer.Address.String())
	}
	return seeds
}

func (l *Stage) settingsPath(name string) string {
	return filepath.Join(l.config.Dir, strings.ReplaceAll(name, "/", "-")+".settings.json")
}

func (l *Stage) writeSettings(name string, settings map[string]any) error {
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return fault.Wrap(err, fault.Internal, "settings can't be encoded", "report this")
	}
	if err := os.WriteFile(l.settingsPath(name), append(b, '\n'), 0o644); err != nil {
		return fault.Wrap(err, fault.Invalid, "settings can't be written", "choose a writable folder")
	}
	return nil
}
