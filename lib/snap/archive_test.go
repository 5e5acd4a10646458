package snap

import (
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

var agent = netip.MustParseAddrPort("10.0.0.1:7300")

func snapshot(ports ...uint16) flows.Snapshot {
	s := flows.Snapshot{StartMillis: 1_790_000_000_000}
	for i, port := range ports {
		s.Flows = append(s.Flows, flows.FlowRecord{
			Ack: 0xfffffff0 + uint32(i),
			Flow: flows.Flow{
				Caller:  flows.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: port},
				Service: flows.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
			},
		})
	}
	return s
}

func TestNextProcessLoadsLastSnapshot(t *testing.T) {
	g := gomega.NewWithT(t)
	objects := store.NewMemory()
	archive := NewArchive(objects, agent)
	g.Expect(archive.Load(t.Context())).To(gomega.Equal(flows.Snapshot{}))
	g.Expect(archive.Save(t.Context(), snapshot(1, 2))).To(gomega.Succeed())
	g.Expect(archive.Save(t.Context(), snapshot(2, 3, 4))).To(gomega.Succeed())
	next := NewArchive(objects, agent)
	g.Expect(next.Load(t.Context())).To(gomega.Equal(snapshot(2, 3, 4)))
	g.Expect(next.Save(t.Context(), snapshot())).To(gomega.Succeed())
	g.Expect(next.Load(t.Context())).To(gomega.Equal(snapshot()))
}

func TestSaveAfterLostAnswerSucceedsOnceVersionIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	objects := store.NewMemory()
	archive := NewArchive(objects, agent)
	g.Expect(NewArchive(objects, agent).Save(t.Context(), snapshot(1))).To(gomega.Succeed())
	g.Expect(fault.Is(archive.Save(t.Context(), snapshot(2)), fault.Stale)).To(gomega.BeTrue())
	_, err := archive.Load(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(archive.Save(t.Context(), snapshot(2))).To(gomega.Succeed())
}

func TestMalformedSnapshotIsInvalidAndReplaced(t *testing.T) {
	for _, value := range []string{`{`, `{"flows":"AAAA"}`, `[]`} {
		g := gomega.NewWithT(t)
		objects := store.NewMemory()
		archive := NewArchive(objects, agent)
		_, err := objects.Put(t.Context(), archive.key, []byte(value), store.Version{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = archive.Load(t.Context())
		g.Expect(fault.Is(err, fault.Invalid)).To(gomega.BeTrue())
		g.Expect(archive.Save(t.Context(), snapshot(1))).To(gomega.Succeed())
	}
}

func TestRemovedSnapshotIsEmpty(t *testing.T) {
	g := gomega.NewWithT(t)
	archive := NewArchive(store.NewMemory(), agent)
	g.Expect(archive.Save(t.Context(), snapshot(1))).To(gomega.Succeed())
	g.Expect(archive.Remove(t.Context())).To(gomega.Succeed())
	g.Expect(archive.Load(t.Context())).To(gomega.Equal(flows.Snapshot{}))
	g.Expect(archive.Save(t.Context(), snapshot(2))).To(gomega.Succeed())
}
