package node

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/setup"
	"github.com/cyclamendock/cyclamendock/lib/steer"
)

const (
	defaultHealthPath = "/health"
	defaultWeight     = 100
)

// Settings are the checked settings of an agent.
type Settings struct {
	Address          netip.AddrPort // UDP and TCP, towards balancers and other agents
	AvailabilityZone string
	BackendServer    netip.AddrPort
	CertificateFile  string        // empty for a certificate made at start
	DrainLimit       time.Duration // zero means that open flows are never cut
	HealthPath       string
	KeyFile          string
	Log              setup.LogSection
	Metrics          netip.AddrPort
	Name             string
	Placement        steer.Policy
	PlatformURL      string
	Region           string
	Seeds            []netip.AddrPort // balancers
	Service          string
	Trace            setup.TraceSection
	TrustedNetworks  []netip.Prefix
	Weight           uint32
}

type settingsJSON struct {
	Address          string             `json:"address"`
	AvailabilityZone string             `json:"availabilityZone"`
	BackendServer    string             `json:"backendServer"`
	CertificateFile  string             `json:"certificateFile"`
	DrainLimit       string             `json:"drainLimit"`
	HealthPath       string             `json:"healthPath"`
	KeyFile          string             `json:"keyFile"`
	Log              setup.LogSection   `json:"log"`
	MetricsAddress   string             `json:"metricsAddress"`
	Name             string             `json:"name"`
	Placement        string             `json:"placement"`
	PlatformURL      string             `json:"platformUrl"`
	Region           string             `json:"region"`
	Seeds            []string           `json:"seeds"`
	Service          string             `json:"service"`
	Trace            setup.TraceSection `json:"trace"`
	TrustedNetworks  []string           `json:"trustedNetworks"`
	Weight           uint32             `json:"weight"`
}

var placements = map[string]steer.Policy{
	"compareMean":     steer.CompareMean,
	"compareTwo":      steer.CompareTwo,
	"firstBelowLimit": steer.FirstBelowLimit,
	"hashOnly":        steer.HashOnly,
}

// LoadSettings reads and checks a settings file, or returns an Invalid fault that names the key.
func LoadSettings(path string) (Settings, error) {
	var raw settingsJSON
	if err := setup.Load(path, &raw); err != nil {
		return Settings{}, err
	}
	check := setup.NewChecker(path)
	placement := check.OneOf("placement", raw.Placement, "compareMean", "compareTwo", "firstBelowLimit", "hashOnly")
	settings := Settings{
		Address:          check.Address("address", raw.Address),
		AvailabilityZone: check.Required("availabilityZone", raw.AvailabilityZone),
		BackendServer:    check.Address("backendServer", raw.BackendServer),
		CertificateFile:  raw.CertificateFile,
		DrainLimit:       check.Duration("drainLimit", raw.DrainLimit, 0),
		HealthPath:       raw.HealthPath,
		KeyFile:          raw.KeyFile,
		Log:              check.Log(raw.Log),
		Metrics:          check.Address("metricsAddress", raw.MetricsAddress),
		Name:             check.Required("name", raw.Name),
		Placement:        placements[placement],
		PlatformURL:      check.Required("platformUrl", raw.PlatformURL),
		Region:           check.Required("region", raw.Region),
		Seeds:            check.Addresses("seeds", raw.Seeds),
		Service:          check.Required("service", raw.Service),
		Trace:            check.Trace(raw.Trace),
		TrustedNetworks:  check.SomeNetworks("trustedNetworks", raw.TrustedNetworks),
		Weight:           raw.Weight,
	}
	if (raw.CertificateFile == "") != (raw.KeyFile == "") {
		check.Fail("keyFile", "and certificateFile must come together", "give both or neither")
	}
	if settings.HealthPath == "" {
		settings.HealthPath = defaultHealthPath
	}
	if settings.Weight == 0 {
		settings.Weight = defaultWeight
	}
	return settings, check.Err()
}
