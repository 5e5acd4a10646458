package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// answer sends the beginning of a response on a flow.
func (o *overloadSim) answer(now time.Time, flow Flow, failed bool) {
	o.dispatcher.HandleServerPacket(now, Packet{Destination: flow.Caller, Failed: failed, Flags: FlagAck, Length: 100, Source: flow.Service})
}

// Guards against a mean service time that falls when the backend server refuses requests at once, by which the agent
// would deliver far more than the backend server can hold.
func TestRefusalsAreNoSampleOfTheServiceTime(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newOverloadSim(now, 2)
	flows := o.openFlows(now, 20)
	o.sendRequest(now, flows[0])
	now = now.Add(80 * time.Millisecond)
	o.answer(now, flows[0], false)
	g.Expect(o.dispatcher.Report(now).MeanServiceTime).To(gomega.Equal(80 * time.Millisecond))
	for _, flow := range flows[1:] {
		o.sendRequest(now, flow)
		o.answer(now, flow, true)
	}
	g.Expect(o.dispatcher.Report(now).MeanServiceTime).To(gomega.Equal(80 * time.Millisecond))
	g.Expect(o.dispatcher.Busy()).To(gomega.BeZero())
}

// Guards against a mean service time that contains the wait for a slot of the backend server.
func TestServiceTimeIsCountedFromTheStartOfService(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(100, 0)
	o := newOverloadSim(start, 2)
	flows := o.openFlows(start, 6)
	for _, flow := range flows {
		f := o.forward(flow)
		f.LatencyTarget = time.Minute // all are delivered at once
		o.dispatcher.HandleForward(start, &f, o.packet(flow, FlagAck, 100))
	}
	for i, flow := range flows {
		now := start.Add(time.Duration(i/2+1) * 50 * time.Millisecond)
		o.answer(now, flow, false)
		g.Expect(o.dispatcher.Report(now).MeanServiceTime).To(gomega.Equal(50 * time.Millisecond))
	}
}

// Guards against requests that hold a slot of the tracked backend server after they have ended in any way, so that no
// request behind them would be in service.
func TestEveryEndOfARequestFreesItsSlot(t *testing.T) {
	for name, end := range map[string]func(o *overloadSim, now time.Time, flow Flow){
		"abandoned": func(o *overloadSim, now time.Time, flow Flow) {
			f := o.forward(flow)
			o.dispatcher.HandleForward(now, &f, o.packet(flow, FlagAck|FlagFin, 0))
		},
		"answered": func(o *overloadSim, now time.Time, flow Flow) { o.answer(now, flow, false) },
		"bounced": func(o *overloadSim, now time.Time, flow Flow) {
			p := o.packet(flow, FlagAck|FlagBounced, 100)
			p.Echo = 1
			o.dispatcher.HandleBounced(now, p)
		},
		"closed by the server": func(o *overloadSim, now time.Time, flow Flow) {
			o.dispatcher.HandleServerPacket(now, Packet{Destination: flow.Caller, Flags: FlagAck | FlagReset, Source: flow.Service})
		},
		"expired flow": func(o *overloadSim, now time.Time, _ Flow) { o.dispatcher.Sweep(now.Add(2 * time.Minute)) },
		"server ended": func(o *overloadSim, now time.Time, _ Flow) { o.dispatcher.ResetServerFlows(now) },
		"shed":         func(o *overloadSim, now time.Time, flow Flow) { o.answer(now, flow, true) },
		"timed out":    func(o *overloadSim, now time.Time, _ Flow) { o.dispatcher.Sweep(now.Add(3 * time.Second)) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := time.Unix(100, 0)
			o := newOverloadSim(now, 2)
			flow := o.openFlows(now, 1)[0]
			o.sendRequest(now, flow)
			g.Expect(o.dispatcher.service.InService()).To(gomega.Equal(1))
			end(o, now.Add(10*time.Millisecond), flow)
			g.Expect(o.dispatcher.service.InService()).To(gomega.BeZero())
			g.Expect(o.dispatcher.Busy()).To(gomega.BeZero())
		})
	}
}
