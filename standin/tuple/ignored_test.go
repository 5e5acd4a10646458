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

func TestUnusableInputIsCountedAndChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 119)
	flows := openFlows(g, s, "before", 5)
	balancer, agent := s.host(1, 0), s.host(2, 0)
	for _, to := range []netip.AddrPort{
		s.Balancer(0),
		netip.AddrPortFrom(balancer, innerPort),
		netip.AddrPortFrom(agent, innerPort),
		netip.AddrPortFrom(agent, outletPort),
	} {
		sendGarbage(g, to)
	}
	announce := fmt.Sprintf("http://%s/v1/instances/i-0", netip.AddrPortFrom(agent, announcePort))
	putAnnouncement(g, announce, "{", http.StatusBadRequest)
	putAnnouncement(g, announce, `{"address":"127.119.2.1:8165","born":1,"concurrency":7,"sequence":1,"service":"other","state":"ready"}`, http.StatusConflict)
	s.Objects.Set("cyclamendock-members", "someone", map[string]any{"address": "nowhere", "role": "agent"})
	s.Objects.Set("config", "main", map[string]any{"routes": []any{}})

	restarted := s.Process("balancer-1")
	restarted.Kill(endLimit)
	g.Expect(restarted.Start()).To(gomega.Succeed()) // lists the members
	expectIgnored(g, s, "balancer-0", "callerPacket", "configuration", "message")
	expectIgnored(g, s, "balancer-1", "member")
	expectIgnored(g, s, "agent-0", "announcement", "message", "serverPacket")

	served, err := s.Metrics("balancer-0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(served).To(gomega.ContainSubstring("cyclamendock_balancer_config_version 1"))
	for _, err := range getAll(flows, "after", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	openFlows(g, s, "new", 10)
	checkBackends(g, s)
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

// expectIgnored waits until a process has counted something of each input.
func expectIgnored(g *gomega.WithT, s *Stage, process string, inputs ...string) {
	for _, input := range inputs {
		name := fmt.Sprintf("cyclamendock_inputs_ignored_total{input=%q}", input)
		g.Eventually(func() (string, error) { return s.Metrics(process) }, requestLimit).
			Should(gomega.ContainSubstring(name), process)
	}
}
