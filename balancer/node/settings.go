package node

import (
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/setup"
)

const defaultMaxDatagram = 1400

// Settings are the checked settings of a balancer.
type Settings struct {
	Address          netip.AddrPort // UDP and TCP, towards agents and other balancers
	AvailabilityZone string
	Direct           bool // listen on the services' own addresses
	FabricNetworks   []netip.Prefix
	Front            netip.AddrPort
	Log              setup.LogSection
	MaxDatagram      int // bytes
	Metrics          netip.AddrPort
	Name             string
	PlatformURL      string
	Region           string
	Seeds            []netip.AddrPort
	Trace            setup.TraceSection
	TrustedNetworks  []netip.Prefix
}

type settingsJSON struct {
	Address          string             `json:"address"`
	AvailabilityZone string             `json:"availabilityZone"`
	FabricNetworks   []string           `json:"fabricNetworks"`
	FrontAddress     string             `json:"frontAddress"`
	FrontMode        string             `json:"frontMode"`
	Log              setup.LogSection   `json:"log"`
	MaxDatagram      int                `json:"maxDatagram"`
	MetricsAddress   string             `json:"metricsAddress"`
	Name             string             `json:"name"`
	PlatformURL      string             `json:"platformUrl"`
	Region           string             `json:"region"`
	Seeds            []string           `json:"seeds"`
	Trace            setup.TraceSection `json:"trace"`
	TrustedNetworks  []string           `json:"trustedNetworks"`
}

// LoadSettings reads and checks a settings file, or returns an Invalid fault that names the key.
func LoadSettings(path string) (Settings, error) {
	var raw settingsJSON
	if err := setup.Load(path, &raw); err != nil {
		return Settings{}, err
	}
	check := setup.NewChecker(path)
	settings := Settings{
		Address:          check.Address("address", raw.Address),
		AvailabilityZone: check.Required("availabilityZone", raw.AvailabilityZone),
		Direct:           check.OneOf("frontMode", raw.FrontMode, "proxy", "direct") == "direct",
		Log:              check.Log(raw.Log),
		MaxDatagram:      raw.MaxDatagram,
		Metrics:          check.Address("metricsAddress", raw.MetricsAddress),
		Name:             check.Required("name", raw.Name),
		PlatformURL:      check.Required("platformUrl", raw.PlatformURL),
		Region:           check.Required("region", raw.Region),
		Seeds:            check.Addresses("seeds", raw.Seeds),
		Trace:            check.Trace(raw.Trace),
		TrustedNetworks:  check.SomeNetworks("trustedNetworks", raw.TrustedNetworks),
	}
	if !settings.Direct {
		settings.FabricNetworks = check.SomeNetworks("fabricNetworks", raw.FabricNetworks)
		settings.Front = check.Address("frontAddress", raw.FrontAddress)
	}
	if settings.MaxDatagram == 0 {
		settings.MaxDatagram = defaultMaxDatagram
	}
	return settings, check.Err()
}
