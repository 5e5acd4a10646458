package tuple

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

func TestInvalidInputIsCountedAndIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 119)
	flows := openFlows(g, c, "before", 5)
	balancer, agent := c.host(1, 0), c.host(2, 0)
	for _, to := range []netip.AddrPort{
		c.Balancer(0),
		netip.AddrPortFrom(balancer, internalPort),
		netip.AddrPortFrom(agent, internalPort),
		netip.AddrPortFrom(agent, outletPort),
	} {
		sendGarbage(g, to)
	}
	announce := fmt.Sprintf("http://%s/v1/instances/i-0", netip.AddrPortFrom(agent, announcePort))
	putAnnouncement(g, announce, "{", http.StatusBadRequest)
	putAnnouncement(g, announce, `{"address":"127.119.2.1:8165","born":1,"concurrency":7,"sequence":1,"service":"other","state":"ready"}`, http.StatusConflict)
	c.Store.Set("cyclamendock-members", "someone", map[string]any{"address": "nowhere", "role": "agent"})
	c.Store.Set("config", "main", map[string]any{"routes": []any{}})

	restarted := c.Process("balancer-1")
	restarted.Kill(exitTimeout)
	g.Expect(restarted.Start()).To(gomega.Succeed()) // lists the members, which makes it read the invalid one
	expectIgnored(g, c, "balancer-0", "callerPacket", "configuration", "message")
	expectIgnored(g, c, "balancer-1", "member")
	expectIgnored(g, c, "agent-0", "announcement", "message", "serverPacket")

	served, err := c.Metrics("balancer-0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(served).To(gomega.ContainSubstring("cyclamendock_balancer_config_version 1"))
	for _, err := range getAll(flows, "after", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	openFlows(g, c, "new", 10)
	checkBackends(g, c)
}

func sendGarbage(g *gomega.WithT, to netip.AddrPort) {
	conn, err := net.Dial("udp4", to.String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = conn.Write([]byte("neither a packet nor a message"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

func putAnnouncement(g *gomega.WithT, url, body string, status int) {
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.Body.Close()).To(gomega.Succeed())
	g.Expect(response.StatusCode).To(gomega.Equal(status), body)
}

// expectIgnored waits until the process has counted at least one ignored input of each kind.
func expectIgnored(g *gomega.WithT, c *Cluster, process string, inputs ...string) {
	for _, input := range inputs {
		name := fmt.Sprintf("cyclamendock_inputs_ignored_total{input=%q}", input)
		g.Eventually(func() (string, error) { return c.Metrics(process) }, requestTimeout).
			Should(gomega.ContainSubstring(name), process)
	}
}
