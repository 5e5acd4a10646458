package flows

import (
	"reflect"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamendock/cyclamendock/lib/store"
	"github.com/cyclamendock/cyclamendock/lib/zones"
)

func drawEndpoint(t *rapid.T) Endpoint {
	return Endpoint{IP: [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip")), Port: rapid.Uint16().Draw(t, "port")}
}

func drawList(t *rapid.T) []Endpoint {
	var list []Endpoint
	for range rapid.IntRange(0, maxAgentsPerMessage).Draw(t, "length") {
		list = append(list, drawEndpoint(t))
	}
	return list
}

func TestForwardRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := Forward{
			Confined:      rapid.Bool().Draw(t, "confined"),
			Assigned:      rapid.Bool().Draw(t, "assigned"),
			LatencyTarget: time.Duration(rapid.IntRange(0, 65535).Draw(t, "latency target")) * time.Millisecond,
			Least:         drawEndpoint(t),
			LeastLatency:  time.Duration(rapid.IntRange(0, 65535).Draw(t, "least latency")) * time.Millisecond,
			Datagram:      rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "datagram"),
			Era:           rapid.Uint64().Draw(t, "era"),
			Final:         rapid.Bool().Draw(t, "final"),
			Next:          drawList(t),
			Origin:        drawEndpoint(t),
			Overloaded:    rapid.Bool().Draw(t, "overloaded"),
			RejectedBy:    drawList(t),
			Service:       NameHash(rapid.Uint64().Draw(t, "service")),
			Timeout:       time.Duration(rapid.IntRange(0, 65535).Draw(t, "timeout")) * time.Millisecond,
			Urgency:       rapid.IntRange(-128, 127).Draw(t, "urgency"),
		}
		var got Forward
		message := sent.Append(nil, KindForward)
		if !got.Decode(message) || !reflect.DeepEqual(sent, got) {
			t.Fatalf("sent %+v, got %+v", sent, got)
		}
		for cut := range message {
			got.Decode(message[:cut]) // must not panic
		}
	})
}

func TestReportRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := Report{Addresses: []Endpoint{testAddress, floodAddress}, AddressesKnown: true, Busy: 3, Flows: 99, Interval: time.Second, MeanServiceTime: 55 * time.Millisecond, Service: 7, Slots: 2, State: StateDraining, Warming: true, Zone: 9}
	for _, evacuated := range []bool{true, false} {
		sent.ZoneEvacuated = evacuated
		var got Report
		g.Expect(got.Decode(sent.Append(nil))).To(gomega.BeTrue())
		g.Expect(got).To(gomega.Equal(sent))
	}
	var got Report
	g.Expect(got.Decode(sent.Append(nil))).To(gomega.BeTrue())
	g.Expect(got).To(gomega.Equal(sent))
	g.Expect(got.Decode(sent.Append(nil)[:10])).To(gomega.BeFalse())
	sent.Addresses, sent.AddressesKnown = nil, false
	got = Report{}
	g.Expect(got.Decode(sent.Append(nil))).To(gomega.BeTrue())
	g.Expect(got).To(gomega.Equal(sent))
}

func TestHelloRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := Hello{Era: rapid.Uint64().Draw(t, "era")}
		var got Hello
		message := sent.Append(nil)
		if !got.Decode(message) || got != sent || got.Decode(message[:len(message)-1]) {
			t.Fatalf("sent %+v, got %+v", sent, got)
		}
	})
}

func FuzzMessages(f *testing.F) {
	f.Add((&Forward{Datagram: []byte{1}, Next: []Endpoint{testAddress}}).Append(nil, KindForward))
	f.Add(Report{}.Append(nil))
	f.Add(Owner{}.Append(nil))
	f.Add(Digest{}.Append(nil))
	f.Add(Hello{Era: 300}.Append(nil))
	f.Add(Zones{Evacuated: true}.Append(nil))
	f.Fuzz(func(t *testing.T, message []byte) {
		var forward Forward
		if forward.Decode(message) && len(forward.Next) > maxAgentsPerMessage {
			t.Fatal("the message lists too many agents")
		}
		var report Report
		report.Decode(message)
		var owner Owner
		owner.Decode(message)
		var digest Digest
		digest.Decode(message)
		var hello Hello
		hello.Decode(message)
		var zones Zones
		zones.Decode(message)
	})
}

func TestDigestSurvivesEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		digest := Digest{
			AgentsHeard:    rapid.Bool().Draw(t, "agentsHeard"),
			Era:            rapid.Uint64().Draw(t, "era"),
			FromStore:      rapid.Bool().Draw(t, "fromStore"),
			IsReply:        rapid.Bool().Draw(t, "isReply"),
			MembersHash:    rapid.Uint64().Draw(t, "membersHash"),
			ReplyRequired:  rapid.Bool().Draw(t, "replyRequired"),
			Version:        rapid.Uint64().Draw(t, "version"),
			ZonesFromStore: rapid.Bool().Draw(t, "zonesFromStore"),
		}
		if rapid.Bool().Draw(t, "zonesKnown") {
			digest.Zones, _ = zones.NewState(drawVersion(t), rapid.SliceOfN(rapid.Uint64(), 0, zones.MaxZones).Draw(t, "zones"))
		}
		var decoded Digest
		if !decoded.Decode(digest.Append(nil)) || decoded != digest {
			t.Fatalf("%+v was decoded as %+v", digest, decoded)
		}
	})
}

func drawVersion(t *rapid.T) store.Version {
	return store.Version{Era: rapid.Uint64().Draw(t, "storeEra"), Revision: rapid.Uint64().Draw(t, "revision")}
}

func TestZonesSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := Zones{Evacuated: rapid.Bool().Draw(t, "evacuated"), Version: drawVersion(t)}
		var got Zones
		message := sent.Append(nil)
		if !got.Decode(message) || got != sent || got.Decode(message[:len(message)-1]) {
			t.Fatalf("sent %+v, got %+v", sent, got)
		}
	})
}

// Guards against a digest that a faulty process sends with more availability zones than a state holds, or cut short.
func TestDigestWithMalformedZonesIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	var digest Digest
	digest.Zones, _ = zones.NewState(store.Version{Era: 1, Revision: 2}, []uint64{3, 4})
	message := digest.Append(nil)
	g.Expect(digest.Decode(message)).To(gomega.BeTrue())
	for cut := len(Digest{}.Append(nil)); cut < len(message); cut++ {
		g.Expect(digest.Decode(message[:cut])).To(gomega.BeFalse(), "%d bytes", cut)
	}
	message[len(message)-2*8-1] = zones.MaxZones + 1
	g.Expect(digest.Decode(append(message, make([]byte, 200)...))).To(gomega.BeFalse())
}

func TestJoinOfAnEarlierVersionIsForMissingAgents(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, missing := range []bool{true, false} {
		var join Join
		join.Decode(Join{Missing: missing}.Append(nil))
		g.Expect(join.Missing).To(gomega.Equal(missing))
	}
	var join Join
	join.Decode([]byte{byte(KindJoin)})
	g.Expect(join.Missing).To(gomega.BeTrue())
}
