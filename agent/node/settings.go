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

// Settings holds the validated settings of an agent.
type Settings struct {
	setup.DaemonSettings

	BackendServer   netip.AddrPort
	CertificateFile string        // if empty, a self-signed certificate is generated at the start
	DrainLimit      time.Duration // zero means that open flows are never closed
	HealthPath      string
	KeyFile         string
	Placement       steer.Policy
	Service         string
	Weight          uint32
}

type settingsJSON struct {
	setup.DaemonSettingsFile

	BackendServer   string `json:"backendServer"`
	CertificateFile string `json:"certificateFile"`
	DrainLimit      string `json:"drainLimit"`
	HealthPath      string `json:"healthPath"`
	KeyFile         string `json:"keyFile"`
	Placement       string `json:"placement"`
	Service         string `json:"service"`
	Weight          uint32 `json:"weight"`
}

var placements = map[string]steer.Policy{
	"compareMean":     steer.CompareMean,
	"compareTwo":      steer.CompareAll,
	"firstBelowLimit": steer.FirstBelowLimit,
	"hashOnly":        steer.HashOnly,
}

// LoadSettings reads and validates a settings file, or returns an Invalid fault that names the key.
func LoadSettings(path string) (Settings, error) {
	var raw settingsJSON
	if err := setup.Load(path, &raw); err != nil {
		return Settings{}, err
	}
	checker := setup.NewChecker(path)
	placement := checker.OneOf("placement", raw.Placement, "compareMean", "compareTwo", "firstBelowLimit", "hashOnly")
	settings := Settings{
		BackendServer:   checker.Address("backendServer", raw.BackendServer),
		CertificateFile: raw.CertificateFile,
		DrainLimit:      checker.Duration("drainLimit", raw.DrainLimit, 0),
		HealthPath:      raw.HealthPath,
		KeyFile:         raw.KeyFile,
		Placement:       placements[placement],
		DaemonSettings:  checker.DaemonSettings(raw.DaemonSettingsFile),
		Service:         checker.Required("service", raw.Service),
		Weight:          raw.Weight,
	}
	if (raw.CertificateFile == "") != (raw.KeyFile == "") {
		checker.Fail("keyFile", "must be set together with certificateFile", "set both or neither")
	}
	if settings.HealthPath == "" {
		settings.HealthPath = defaultHealthPath
	}
	if settings.Weight == 0 {
		settings.Weight = defaultWeight
	}
	return settings, checker.Err()
}
