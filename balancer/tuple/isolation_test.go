package tuple

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var (
	firstPeer  = netip.MustParseAddrPort("10.0.0.2:7300")
	secondPeer = netip.MustParseAddrPort("10.0.0.3:7300")
)

func TestBalancerIsCutOffWhenOthersFareBetter(t *testing.T) {
	start := time.Unix(0, 0)
	tests := map[string]struct {
		alive   []netip.AddrPort
		answers map[netip.AddrPort]bool // whether the balancers that answer hear agents
		cutOff  bool
	}{
		"agents are down":                         {[]netip.AddrPort{firstPeer, secondPeer}, map[netip.AddrPort]bool{firstPeer: false, secondPeer: false}, false},
		"cut off from agents and other balancers": {[]netip.AddrPort{firstPeer, secondPeer}, nil, true},
		"cut off from agents only":                {[]netip.AddrPort{firstPeer, secondPeer}, map[netip.AddrPort]bool{firstPeer: true, secondPeer: true}, true},
		"cut off together with another balancer":  {[]netip.AddrPort{firstPeer, secondPeer}, map[netip.AddrPort]bool{firstPeer: false}, true},
		"no other balancer is alive":              {nil, nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var i isolation
			i.recordAnswer(firstPeer, true) // before the agents became unreachable
			i.update(start, true, func() []netip.AddrPort { return test.alive })
			for balancer, agentsHeard := range test.answers {
				i.recordAnswer(balancer, agentsHeard)
			}
			g.Expect(i.cutOff(start.Add(isolationGrace))).To(gomega.BeFalse(), "they may still answer")
			g.Expect(i.cutOff(start.Add(isolationGrace + 1))).To(gomega.Equal(test.cutOff))
			i.update(start.Add(time.Second), false, nil)
			g.Expect(i.cutOff(start.Add(time.Hour))).To(gomega.BeFalse())
		})
	}
}

func TestBalancerIsCutOffOnceOthersHearAgentsAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	var i isolation
	i.update(start, true, func() []netip.AddrPort { return []netip.AddrPort{firstPeer} })
	i.recordAnswer(firstPeer, false)
	g.Expect(i.cutOff(start.Add(time.Second))).To(gomega.BeFalse())
	i.recordAnswer(firstPeer, true)
	g.Expect(i.cutOff(start.Add(2 * time.Second))).To(gomega.BeTrue())
}
