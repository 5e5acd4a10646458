package setup

import "net/netip"

// A Process is what the settings of every daemon in front of the platform's store have in common.
type Process struct {
	Address          netip.AddrPort // UDP and TCP, towards the other daemons
	AvailabilityZone string
	Log              LogSection
	Metrics          netip.AddrPort
	Name             string
	PlatformURL      string
	Region           string
	Seeds            []netip.AddrPort // balancers
	Trace            TraceSection
	TrustedNetworks  []netip.Prefix
}

// A ProcessFile is a Process as a settings file has it.
type ProcessFile struct {
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

// Process checks what all daemons have in common.
func (c *Checker) Process(file ProcessFile) Process {
	return Process{
		Address:          c.Address("address", file.Address),
		AvailabilityZone: c.Required("availabilityZone", file.AvailabilityZone),
		Log:              c.Log(file.Log),
		Metrics:          c.Address("metricsAddress", file.MetricsAddress),
		Name:             c.Required("name", file.Name),
		PlatformURL:      c.Required("platformUrl", file.PlatformURL),
		Region:           c.Required("region", file.Region),
		Seeds:            c.Addresses("seeds", file.Seeds),
		Trace:            c.Trace(file.Trace),
		TrustedNetworks:  c.SomeNetworks("trustedNetworks", file.TrustedNetworks),
	}
}
