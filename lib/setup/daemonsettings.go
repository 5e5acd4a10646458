package setup

import "net/netip"

// DaemonSettings contains the validated settings that all daemons with access to the platform's store have in common.
type DaemonSettings struct {
	Address          netip.AddrPort // UDP and TCP address for the other daemons
	AvailabilityZone string
	Log              LogSection
	Metrics          netip.AddrPort
	Name             string
	PlatformURL      string
	Region           string
	Seeds            []netip.AddrPort // balancers to contact at the start
	Trace            TraceSection
	TrustedNetworks  []netip.Prefix
}

// DaemonSettingsFile holds DaemonSettings as they are written in a settings file.
type DaemonSettingsFile struct {
	Address          string       `json:"address"`
	AvailabilityZone string       `json:"availabilityZone"`
	Log              LogSection   `json:"log"`
	MetricsAddress   string       `json:"metricsAddress"`
	Name             string       `json:"name"`
	PlatformURL      string       `json:"platformUrl"`
	Region           string       `json:"region"`
	Seeds            []string     `json:"seeds"`
	Trace            TraceSection `json:"trace"`
	TrustedNetworks  []string     `json:"trustedNetworks"`
}

// DaemonSettings parses and validates the settings that all daemons with access to the platform's store have in common.
func (c *Checker) DaemonSettings(file DaemonSettingsFile) DaemonSettings {
	return DaemonSettings{
		Address:          c.Address("address", file.Address),
		AvailabilityZone: c.Required("availabilityZone", file.AvailabilityZone),
		Log:              c.Log(file.Log),
		Metrics:          c.Address("metricsAddress", file.MetricsAddress),
		Name:             c.Required("name", file.Name),
		PlatformURL:      c.Required("platformUrl", file.PlatformURL),
		Region:           c.Required("region", file.Region),
		Seeds:            c.Addresses("seeds", file.Seeds),
		Trace:            c.Trace(file.Trace),
		TrustedNetworks:  c.RequiredNetworks("trustedNetworks", file.TrustedNetworks),
	}
}
