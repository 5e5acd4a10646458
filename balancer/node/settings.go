package node

import (
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/setup"
)

const defaultMaxDatagram = 1400

// Settings holds the validated settings of a balancer.
type Settings struct {
	setup.DaemonSettings

	Direct         bool           // listen on the services' own addresses
	FabricNetworks []netip.Prefix // networks that may send PROXY headers
	Front          netip.AddrPort // local address for callers' datagrams unless Direct
	MaxDatagram    int            // largest datagram of a caller that is forwarded, in bytes
}

type settingsJSON struct {
	setup.DaemonSettingsFile

	FabricNetworks []string `json:"fabricNetworks"`
	FrontAddress   string   `json:"frontAddress"`
	FrontMode      string   `json:"frontMode"`
	MaxDatagram    int      `json:"maxDatagram"`
}

// LoadSettings reads and validates a settings file, or returns an Invalid fault that names the key.
func LoadSettings(path string) (Settings, error) {
	var raw settingsJSON
	if err := setup.Load(path, &raw); err != nil {
		return Settings{}, err
	}
	checker := setup.NewChecker(path)
	settings := Settings{
		DaemonSettings: checker.DaemonSettings(raw.DaemonSettingsFile),
		Direct:         checker.OneOf("frontMode", raw.FrontMode, "proxy", "direct") == "direct",
		MaxDatagram:    raw.MaxDatagram,
	}
	if !settings.Direct {
		settings.FabricNetworks = checker.RequiredNetworks("fabricNetworks", raw.FabricNetworks)
		settings.Front = checker.Address("frontAddress", raw.FrontAddress)
	}
	if settings.MaxDatagram == 0 {
		settings.MaxDatagram = defaultMaxDatagram
	}
	return settings, checker.Err()
}
