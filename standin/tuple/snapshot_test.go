package tuple

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// snapshotTime is long enough for each agent to store a snapshot of its open flows.
const snapshotTime = 4 * time.Second

// A host loses power, with its agent and its backend server. The callers of its flows send nothing.
func TestIdleFlowsOfLostHostAreResetWhenItReturns(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 124)
	flows := openFlows(g, c, "open", 20)
	time.Sleep(snapshotTime)
	lost := c.Backends[0].FlowCount()
	g.Expect(lost).To(gomega.BeNumerically(">", 0))
	agent := c.Process("agent-0")
	agent.Signal(syscall.SIGKILL)
	g.Expect(agent.WaitExit(requestTimeout)).To(gomega.BeTrue())
	g.Expect(c.Replace(0)).To(gomega.Succeed())
	var resets atomic.Int64
	for _, flow := range flows {
		go func() {
			deadline := time.Now().Add(requestTimeout)
			for err := error(nil); err == nil; {
				var packet Packet
				packet, err = flow.receive(deadline) // packets of before the loss may still be in the socket's buffer
				if packet.Flags&Reset != 0 {
					resets.Add(1)
					return
				}
			}
		}()
	}
	g.Expect(c.Restart("agent-0")).To(gomega.Succeed())
	g.Eventually(resets.Load, requestTimeout).Should(gomega.BeEquivalentTo(lost))
	g.Consistently(resets.Load).Should(gomega.BeEquivalentTo(lost))
	checkBackends(g, c)
}
