package slope

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/steer"
)

var (
	agentSizes   = []int{2, 8, 32, 128}
	entrySizes   = []int{16, 32, 64, 128}
	flowSizes    = []int{2000, 4000, 8000, 16000}
	serviceSizes = []int{150, 300, 600, targetServices}
)

func sampleService(i int) config.Service {
	return config.Service{
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(i >> 8), byte(i)}), 443),
		ID:      uint16(i + 1),
		Kinds: []config.Kind{
			{Class: config.ClassFeed, Method: "GET", Name: "board", PathPrefix: "/feed"},
			{
				Class: config.ClassMutating, Method: "POST", Name: "booking", PathPrefix: "/bookings",
				QueueLimit: 50, Share: 50, Timeout: 5 * time.Second, TypicalDuration: 20 * time.Millisecond, Urgency: 3,
			},
			{
				Class: config.ClassRead, Method: "GET", Name: "slots", PathPrefix: "/slots",
				QueueLimit: 50, Share: 30, Timeout: 3 * time.Second, TypicalDuration: 20 * time.Millisecond, Urgency: 2,
			},
		},
		MaxConnections: 2000,
		Name:           fmt.Sprintf("service-%04d", i),
		Slots:          7,
	}
}

func sampleConfig(services int) config.Config {
	c := config.Config{
		ActiveKey:    1,
		Keys:         []config.Key{{Number: 1, Secret: make([]byte, 16)}},
		TicketSecret: make([]byte, 16),
		Version:      1000,
	}
	for i := range services {
		c.Services = append(c.Services, sampleService(i))
	}
	return c
}

func samplePatch(base uint64) config.Patch {
	return config.Patch{
		Author: "operator", Base: base, ID: fmt.Sprintf("cli-%026d", base), Note: "raise the limit of one service",
		Operations: []config.Operation{config.SetService{Service: sampleService(int(base % targetServices))}},
	}
}

// PatchSize returns the encoded size of one accepted patch in bytes.
func PatchSize() int {
	return len(config.EncodeEntries([]config.Entry{{Patch: samplePatch(1000), Version: 1001}}))
}

// MeasureConfig measures the costs of the configuration.
func MeasureConfig() []LinearFit {
	return []LinearFit{
		measure("configuration: encoded in full", "service", "bytes", targetServices, serviceSizes, func(size int) float64 {
			return float64(len(config.EncodeConfig(sampleConfig(size))))
		}),
		measure("configuration: heap", "service", "bytes", targetServices, serviceSizes, func(size int) float64 {
			return measureHeap(func() any {
				c := sampleConfig(size)
				return &c
			})
		}),
		measure("configuration: apply one change", "service", "us", targetServices, serviceSizes, func(size int) float64 {
			c := sampleConfig(size)
			patch := samplePatch(c.Version)
			patch.Operations = []config.Operation{config.SetService{Service: sampleService(size / 2)}}
			return meanMicroseconds(50, func() { _, _ = config.Apply(c, patch) })
		}),
		measure("platform: configuration head", "entry", "bytes", 128, entrySizes, func(size int) float64 {
			return float64(len(config.EncodeHead(sampleHead(size))))
		}),
		measure("watcher: decode the head", "entry", "us", 128, entrySizes, func(size int) float64 {
			b := config.EncodeHead(sampleHead(size))
			return meanMicroseconds(20, func() { _, _ = config.DecodeHead(b) })
		}),
	}
}

func sampleHead(entries int) config.Head {
	head := config.Head{Snapshot: 1000, Version: 1000 + uint64(entries)}
	for i := range entries {
		base := 1000 + uint64(i)
		head.Entries = append(head.Entries, config.Entry{Patch: samplePatch(base), Version: base + 1})
	}
	return head
}

// MeasureFlows measures the costs of flow placement and of an agent's state per flow.
func MeasureFlows() []LinearFit {
	now := time.Unix(0, 0)
	return []LinearFit{
		measure("balancer: choose agents for a new flow", "agent of the service", "us", 100, agentSizes, func(size int) float64 {
			table := steer.NewTable()
			table.Set(now.Add(-time.Hour), 1, sampleAgents(size))
			id := []byte("12345678")
			return meanMicroseconds(5000, func() { table.Choose(now, 1, id, nil) })
		}),
		measure("agent: heap of return paths", "caller", "bytes", 2000, flowSizes, func(size int) float64 {
			return measureHeap(func() any {
				paths := steer.NewPaths(size)
				for i := range size {
					paths.RecordDelivery(now, sampleAgents(1)[0].Address, steer.Path{})
					caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), 4000)
					paths.RecordDelivery(now, caller, steer.Path{})
				}
				return paths
			})
		}),
	}
}

func sampleAgents(count int) []steer.Agent {
	var agents []steer.Agent
	for i := range count {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		agents = append(agents, steer.Agent{Address: address, Weight: 100})
	}
	return agents
}
