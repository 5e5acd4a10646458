package tuple

import (
	"fmt"
	"net/http"
	"net/netip"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// soon is far under the time after which a silent agent is noticed.
const soon = 100 * time.Millisecond

// statesOf returns how the balancers see the agent on a host, by the operators' command.
func statesOf(g *gomega.WithT, s *Stage, i int) []string {
	output, err := exec.Command(s.config.Program, "status", netip.AddrPortFrom(s.host(0, 0), storePort).String()).CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
	var states []string
	for _, line := range strings.Split(string(output), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == netip.AddrPortFrom(s.host(2, i), innerPort).String() {
			states = append(states, fields[1])
		}
	}
	return states
}

// leave tells an agent that its backend server has ended for good.
func leave(g *gomega.WithT, s *Stage, i int) {
	announce := fmt.Sprintf("http://%s/v1/instances/i-%d", netip.AddrPortFrom(s.host(2, i), announcePort), i)
	request, err := http.NewRequest(http.MethodDelete, announce, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.Body.Close()).To(gomega.Succeed())
}

func TestAgentThatEndsSaysSoAndIsBelievedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 98)
	g.Expect(statesOf(g, s, 0)).To(gomega.Equal([]string{"ready", "ready", "ready"}))
	agent := s.Process("agent-0")
	agent.Signal(syscall.SIGTERM)
	g.Expect(agent.WaitEnd(requestLimit)).To(gomega.BeTrue())
	g.Eventually(func() []string { return statesOf(g, s, 0) }, soon, soon/10).
		Should(gomega.Equal([]string{"unknown", "unknown", "unknown"}))
	g.Expect(s.Objects.Names("cyclamendock-members")).To(gomega.HaveLen(7), "it may come back")
}

func TestAgentWhoseServerHasLeftLeavesTheMembers(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 99)
	flows := openFlows(g, s, "open", 10)
	s.Backend(0).Crash()
	leave(g, s, 0)
	agent := s.Process("agent-0")
	agent.Signal(syscall.SIGTERM)
	g.Expect(agent.WaitEnd(requestLimit)).To(gomega.BeTrue())
	g.Expect(s.Objects.Names("cyclamendock-members")).To(gomega.HaveLen(6))
	for _, err := range getAll(flows, "after", 3000) {
		if err != nil {
			g.Expect(err).To(gomega.MatchError(ErrReset), "its flows have ended for certain")
		}
	}
}

func TestAgentWithoutAServerJoinsWithItsFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 97)
	s.Backend(0).Crash()
	leave(g, s, 0)
	agent := s.Process("agent-0")
	agent.Signal(syscall.SIGTERM)
	g.Expect(agent.WaitEnd(requestLimit)).To(gomega.BeTrue())
	g.Expect(s.StartAgain("agent-0")).To(gomega.Succeed())
	g.Consistently(func() []string { return statesOf(g, s, 0) }, 5*soon, soon).Should(gomega.BeEmpty())
	g.Expect(s.Objects.Names("cyclamendock-members")).To(gomega.HaveLen(6))
	g.Expect(s.Replace(0)).To(gomega.Succeed())
	g.Eventually(func() []string { return statesOf(g, s, 0) }, requestLimit, soon).
		Should(gomega.Equal([]string{"ready", "ready", "ready"}))
	g.Expect(s.Objects.Names("cyclamendock-members")).To(gomega.HaveLen(7))
	openFlows(g, s, "open", 20)
	checkBackends(g, s)
}

func TestAgentLeavesTheMembersOnceItsServerHasLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 95)
	s.Backend(0).Crash()
	leave(g, s, 0)
	members := func() []string { return s.Objects.Names("cyclamendock-members") }
	g.Eventually(members, requestLimit, soon).Should(gomega.HaveLen(6))
	openFlows(g, s, "open", 20) // balancers hear of it and do not ask it to join again
	g.Consistently(members, 5*soon, soon).Should(gomega.HaveLen(6))
	g.Expect(s.Replace(0)).To(gomega.Succeed())
	g.Eventually(members, requestLimit, soon).Should(gomega.HaveLen(7))
	g.Eventually(func() []string { return statesOf(g, s, 0) }, requestLimit, soon).
		Should(gomega.Equal([]string{"ready", "ready", "ready"}))
}

func TestAgentWhoseServersPortIsClosedLeavesWhenItEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 94)
	flows := openFlows(g, s, "open", 20)
	s.Backend(0).Crash()
	time.Sleep(2 * announceInterval)
	getAll(flows, "crashed", 3000) // some of them meet the closed port
	g.Eventually(func() []string { return statesOf(g, s, 0) }, requestLimit, soon).
		Should(gomega.Equal([]string{"gone", "gone", "gone"}))
	agent := s.Process("agent-0")
	agent.Signal(syscall.SIGTERM)
	g.Expect(agent.WaitEnd(requestLimit)).To(gomega.BeTrue())
	g.Expect(s.Objects.Names("cyclamendock-members")).To(gomega.HaveLen(6))
	g.Eventually(func() []string { return statesOf(g, s, 0) }, soon, soon/10).Should(gomega.BeEmpty())
	openFlows(g, s, "after", 20)
}
