package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// After a loss of power, some callers have given up by the time that their queued openings reach the backend server. They
// send no request, and the next ones in the queue should not wait for them.
func TestSlotsOfCallersThatHaveGivenUpAreFreedSoon(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	o := newOverloadSim(now, 2)
	admit := func(i int) {
		f := o.forward(testFlow(i))
		g.Expect(o.dispatcher.HandleForward(now, &f, o.packet(testFlow(i), FlagSyn, 0)).Action).To(gomega.Equal(AgentDeliver))
	}
	admit(0)
	now = now.Add(handshakeTime)
	f := o.forward(testFlow(0))
	o.dispatcher.HandleForward(now, &f, o.packet(testFlow(0), FlagAck, 100))
	o.dispatcher.HandleServerPacket(now, Packet{Destination: testFlow(0).Caller, Flags: FlagAck, Length: 100, Source: testFlow(0).Service})
	g.Expect(o.dispatcher.Busy()).To(gomega.BeZero())
	admit(1)
	admit(2)
	now = now.Add(handshakeFactor * handshakeTime)
	o.dispatcher.Release(now)
	g.Expect(o.dispatcher.Busy()).To(gomega.Equal(2), "the requests may still come")
	now = now.Add(time.Millisecond)
	o.dispatcher.Release(now)
	g.Expect(o.dispatcher.Busy()).To(gomega.BeZero())
	f = o.forward(testFlow(1))
	o.dispatcher.HandleForward(now, &f, o.packet(testFlow(1), FlagAck, 100))
	g.Expect(o.dispatcher.Busy()).To(gomega.Equal(1), "a late request counts from its arrival")
}
