package node

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/steer"
)

func testAgents(agents, services int) []fleet.Record {
	var records []fleet.Record
	for i := range agents {
		records = append(records, fleet.Record{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
			Name:    fmt.Sprintf("agent-%d", i),
			Role:    fleet.RoleAgent,
			Service: fmt.Sprintf("service-%d", i%services),
			State:   fleet.StateAlive,
			Weight:  100,
		})
	}
	return records
}

func testConfig(services int) config.Config {
	c := config.Config{ActiveKey: 1, Keys: []config.Key{{Number: 1, Secret: make([]byte, 16)}}, Version: 1}
	for i := range services {
		c.Services = append(c.Services, config.Service{
			Address:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(i >> 8), byte(i)}), 443),
			ID:             uint16(i + 1),
			MaxConnections: 2000,
			Name:           fmt.Sprintf("service-%d", i),
		})
	}
	return c
}

func TestViewListsTheAgentsOfEachService(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	c := testConfig(2)
	c.Drains = []string{"agent-0"}
	suspects := map[string]bool{"agent-2": true}
	view, err := buildView(now, steer.NewTable(), c, testAgents(6, 2), suspects)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for i := range 100 {
		choice := view.Table.Choose(now, 1, []byte(fmt.Sprint(i)), nil)
		g.Expect(choice.Candidates).To(gomega.ConsistOf(netip.MustParseAddrPort("10.0.0.4:7000")),
			"agent-0 is drained and agent-2 suspect")
	}
}

func BenchmarkBuildView(b *testing.B) {
	for _, size := range []struct{ agents, services int }{{350, 150}, {700, 300}, {1400, 600}, {2800, 1200}} {
		b.Run(fmt.Sprint(size.agents), func(b *testing.B) {
			c, agents := testConfig(size.services), testAgents(size.agents, size.services)
			table := steer.NewTable()
			for b.Loop() {
				view, err := buildView(time.Unix(0, 0), table, c, agents, nil)
				if err != nil {
					b.Fatal(err)
				}
				table = view.Table
			}
		})
	}
}
