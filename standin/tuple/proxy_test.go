package tuple

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestProxyInjectsConnectionFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	proxy, err := NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(listener.Addr().String()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer proxy.Close()
	client := &http.Client{Timeout: 2 * proxyDelay, Transport: &http.Transport{}}
	request := func() (time.Duration, error) {
		started := time.Now()
		response, err := client.Get("http://" + proxy.listener.Addr().String() + "/")
		if err == nil {
			_ = response.Body.Close()
		}
		return time.Since(started), err
	}
	_, err = request()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, fault := range []ProxyFault{FaultDropResponses, FaultDropRequests, FaultReset, FaultDropAll} {
		proxy.SetFault(fault)
		_, err := request()
		g.Expect(err).To(gomega.HaveOccurred(), fault.String())
	}
	proxy.SetFault(FaultDelay)
	client.Timeout = 0
	elapsed, err := request()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(elapsed).To(gomega.BeNumerically(">=", proxyDelay))
	proxy.SetFault(FaultNone)
	_, err = request()
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// gracefulExitTimeout is the longest time that a process may take to exit after SIGTERM.
const gracefulExitTimeout = 6 * time.Second

// Faulty connections to the store must keep neither open flows from being served nor processes from restarting.
func TestFlowsAreServedWhileStoreConnectionsAreFaulty(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 96)
	flows := openFlows(g, c, "open", 10)
	for fault := FaultDropResponses; fault < proxyFaultCount; fault++ {
		for _, proxy := range c.proxies {
			proxy.SetFault(fault)
		}
		for _, name := range []string{"agent-0", "balancer-0"} {
			process := c.Process(name)
			process.Signal(syscall.SIGTERM)
			g.Expect(process.WaitExit(gracefulExitTimeout)).To(gomega.BeTrue(), "%s, %s", name, fault)
			g.Expect(c.Restart(name)).To(gomega.Succeed())
		}
		g.Eventually(func() bool { return c.balancerReady(0) }, requestTimeout, shortWait).Should(gomega.BeTrue(), fault.String())
		for _, err := range getAll(flows, fmt.Sprintf("fault-%d", fault), 3000) {
			g.Expect(err).NotTo(gomega.HaveOccurred(), fault.String())
		}
		for _, proxy := range c.proxies {
			proxy.SetFault(FaultNone)
		}
	}
	checkBackends(g, c)
}
