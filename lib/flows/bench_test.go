package flows

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchDirector returns a director with agents of one service.
func benchDirector(now time.Time, agents int) *Director {
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter, Self: testEndpoint(1, 0)})
	d.SetRoutes(now, testRoutes(1, testAddress))
	for i := range agents {
		address := Endpoint{IP: [4]byte{10, 2, byte(i >> 8), byte(i)}, Port: 7000}
		d.Agents.RecordReport(now, address, Report{Busy: i % 5, Service: HashName(testService), Slots: 7, State: StateReady})
	}
	return d
}

func benchFlow(i int) Flow {
	return Flow{Caller: Endpoint{IP: [4]byte{100, byte(i >> 24), byte(i >> 16), byte(i >> 8)}, Port: uint16(i)}, Service: testAddress}
}

func BenchmarkOpen(b *testing.B) {
	for _, agents := range []int{7, 35, 140, 560} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			now := time.Unix(0, 0)
			d := benchDirector(now, agents)
			for i := range b.N {
				flow := benchFlow(i % hintCapacity)
				d.HandlePacket(now, Packet{Destination: flow.Service, Flags: FlagSyn, Source: flow.Caller}, nil)
				d.hints.Delete(flow)
			}
		})
	}
}

func BenchmarkPacketWithHint(b *testing.B) {
	now := time.Unix(0, 0)
	d := benchDirector(now, 35)
	flow := benchFlow(1)
	d.RecordOwner(now, flow, testEndpoint(2, 0))
	for range b.N {
		d.HandlePacket(now, Packet{Destination: flow.Service, Flags: FlagAck, Source: flow.Caller}, nil)
	}
}

func BenchmarkSearch(b *testing.B) {
	for _, agents := range []int{7, 35, 140} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			now := time.Unix(0, 0)
			d := benchDirector(now, agents)
			flow := benchFlow(1)
			for range b.N {
				d.HandlePacket(now, Packet{Destination: flow.Service, Flags: FlagAck, Source: flow.Caller}, nil)
				d.searches.Delete(flow)
			}
		})
	}
}

func BenchmarkReport(b *testing.B) {
	now := time.Unix(0, 0)
	d := benchDirector(now, 35)
	message := Report{Busy: 3, Service: HashName(testService), Slots: 7, State: StateReady}.Append(nil)
	for range b.N {
		var report Report
		report.Decode(message)
		d.Agents.RecordReport(now, Endpoint{IP: [4]byte{10, 2, 0, 1}, Port: 7000}, report)
	}
	b.ReportMetric(float64(len(message)), "bytes/message")
}

func BenchmarkHintMemory(b *testing.B) {
	var before, after runtime.MemStats
	now := time.Unix(0, 0)
	hints := NewCache[Flow, Endpoint](hintCapacity, time.Minute)
	runtime.GC()
	runtime.ReadMemStats(&before)
	const flows = 50_000
	for i := range flows {
		hints.Put(now, benchFlow(i), testEndpoint(2, 0))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "bytes/flow")
	runtime.KeepAlive(hints)
}
