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

func TestProxyHarmsConnections(t *testing.T) {
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
	ask := func() (time.Duration, error) {
		started := time.Now()
		response, err := client.Get("http://" + proxy.listener.Addr().String() + "/")
		if err == nil {
			_ = response.Body.Close()
		}
		return time.Since(started), err
	}
	_, err = ask()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, harm := range []Harm{HarmCutAnswers, HarmCutRequests, HarmReset, HarmSilence} {
		proxy.SetHarm(harm)
		_, err := ask()
		g.Expect(err).To(gomega.HaveOccurred(), harm.String())
	}
	proxy.SetHarm(HarmDelay)
	client.Timeout = 0
	took, err := ask()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(took).To(gomega.BeNumerically(">=", proxyDelay))
	proxy.SetHarm(HarmNone)
	_, err = ask()
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// graceLimit is how long a process may take to end after SIGTERM.
const graceLimit = 6 * time.Second

// A process whose way to the store is harmed starts and serves as the others do.
func TestFlowsAreCarriedWhileTheWayToTheStoreIsHarmed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 96)
	flows := openFlows(g, s, "open", 10)
	for harm := HarmCutAnswers; harm < harmCount; harm++ {
		for _, proxy := range s.proxies {
			proxy.SetHarm(harm)
		}
		for _, name := range []string{"agent-0", "balancer-0"} {
			process := s.Process(name)
			process.Signal(syscall.SIGTERM)
			g.Expect(process.WaitEnd(graceLimit)).To(gomega.BeTrue(), "%s, %s", name, harm)
			g.Expect(s.StartAgain(name)).To(gomega.Succeed())
		}
		g.Eventually(func() bool { return s.ready(0) }, requestLimit, soon).Should(gomega.BeTrue(), harm.String())
		for _, err := range getAll(flows, fmt.Sprintf("harm-%d", harm), 3000) {
			g.Expect(err).NotTo(gomega.HaveOccurred(), harm.String())
		}
		for _, proxy := range s.proxies {
			proxy.SetHarm(HarmNone)
		}
	}
	checkBackends(g, s)
}
