package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var testCaller = netip.MustParseAddrPort("192.0.2.1:1")

func newTestPaths(balancers ...int) *Paths {
	p := NewPaths(10)
	var addresses []netip.AddrPort
	for _, i := range balancers {
		addresses = append(addresses, agentAddress(i))
	}
	p.SetBalancers(addresses)
	return p
}

func TestUnansweredDatagramsRotateThroughAllBalancers(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newTestPaths(0, 1, 2)
	now := time.Unix(0, 0)
	p.RecordDelivery(now, testCaller, Path{Balancer: agentAddress(0), ReturnAddress: testCaller})
	used := map[netip.AddrPort]bool{}
	for range 12 {
		path, ok := p.Next(now, testCaller)
		g.Expect(ok).To(gomega.BeTrue())
		used[path.Balancer] = true
		now = now.Add(50 * time.Millisecond)
	}
	g.Expect(used).To(gomega.HaveLen(3))
}

func TestRemovedBalancerIsReplacedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newTestPaths(0, 1, 2)
	now := time.Unix(0, 0)
	p.RecordDelivery(now, testCaller, Path{Balancer: agentAddress(0), ReturnAddress: testCaller})
	p.SetBalancers([]netip.AddrPort{agentAddress(1), agentAddress(2)})
	path, _ := p.Next(now, testCaller)
	g.Expect(path.Balancer).NotTo(gomega.Equal(agentAddress(0)))
}

func TestUnlistedBalancerThatDeliversIsUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newTestPaths(1, 2)
	now := time.Unix(0, 0)
	p.RecordDelivery(now, testCaller, Path{Balancer: agentAddress(0), ReturnAddress: testCaller})
	path, _ := p.Next(now, testCaller)
	g.Expect(path.Balancer).To(gomega.Equal(agentAddress(0)))
}

func TestAnsweringCallerKeepsItsBalancer(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newTestPaths(0, 1)
	now := time.Unix(0, 0)
	for range 50 {
		p.RecordDelivery(now, testCaller, Path{Balancer: agentAddress(0), ReturnAddress: testCaller})
		path, _ := p.Next(now, testCaller)
		g.Expect(path.Balancer).To(gomega.Equal(agentAddress(0)))
		now = now.Add(time.Second)
	}
}

func TestPathsAreBoundedAndExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPaths(2)
	now := time.Unix(0, 0)
	for i := range 5 {
		p.RecordDelivery(now, agentAddress(i), Path{})
	}
	g.Expect(p.Len()).To(gomega.Equal(2))
	p.Sweep(now.Add(time.Hour))
	g.Expect(p.Len()).To(gomega.BeZero())
}
