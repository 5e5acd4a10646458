package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var pathCaller = netip.MustParseAddrPort("192.0.2.1:1")

func pathsOver(balancers ...int) *Paths {
	p := NewPaths(10)
	var addresses []netip.AddrPort
	for _, i := range balancers {
		addresses = append(addresses, agentAddress(i))
	}
	p.SetBalancers(addresses)
	return p
}

func TestOneWayFeedLeavesADeadBalancer(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pathsOver(0, 1, 2)
	now := time.Unix(0, 0)
	p.Seen(now, pathCaller, Path{Balancer: agentAddress(0), Return: pathCaller})
	used := map[netip.AddrPort]bool{}
	for range 12 {
		path, ok := p.Pick(now, pathCaller)
		g.Expect(ok).To(gomega.BeTrue())
		used[path.Balancer] = true
		now = now.Add(50 * time.Millisecond)
	}
	g.Expect(used).To(gomega.HaveLen(3))
}

func TestBalancerThatIsDownIsLeftAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pathsOver(0, 1, 2)
	now := time.Unix(0, 0)
	p.Seen(now, pathCaller, Path{Balancer: agentAddress(0), Return: pathCaller})
	p.SetBalancers([]netip.AddrPort{agentAddress(1), agentAddress(2)})
	path, _ := p.Pick(now, pathCaller)
	g.Expect(path.Balancer).NotTo(gomega.Equal(agentAddress(0)))
}

func TestBalancerThatDeliversIsUsedThoughItIsNotListedYet(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pathsOver(1, 2)
	now := time.Unix(0, 0)
	p.Seen(now, pathCaller, Path{Balancer: agentAddress(0), Return: pathCaller})
	path, _ := p.Pick(now, pathCaller)
	g.Expect(path.Balancer).To(gomega.Equal(agentAddress(0)))
}

func TestAnsweredFeedStaysOnItsBalancer(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pathsOver(0, 1)
	now := time.Unix(0, 0)
	for range 50 {
		p.Seen(now, pathCaller, Path{Balancer: agentAddress(0), Return: pathCaller})
		path, _ := p.Pick(now, pathCaller)
		g.Expect(path.Balancer).To(gomega.Equal(agentAddress(0)))
		now = now.Add(time.Second)
	}
}

func TestPathsAreBoundedAndForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPaths(2)
	now := time.Unix(0, 0)
	for i := range 5 {
		p.Seen(now, agentAddress(i), Path{})
	}
	g.Expect(p.Len()).To(gomega.Equal(2))
	p.Sweep(now.Add(time.Hour))
	g.Expect(p.Len()).To(gomega.BeZero())
}
