package member

import (
	"bytes"
	"context"
	"net/netip"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/netio"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

var (
	agent    = Member{Address: netip.MustParseAddrPort("10.1.0.7:7000"), Role: RoleAgent}
	balancer = Member{Address: netip.MustParseAddrPort("10.1.0.8:7000"), Role: RoleBalancer}
)

// newTestDirectory returns the directory of a member and the buffer that it logs to.
func newTestDirectory(shared store.Store, self Member) (*Directory, *bytes.Buffer) {
	var logged bytes.Buffer
	log := logs.New(logs.Config{Format: "logfmt", Level: "info", Writer: &logged}, "test")
	ignored := netio.NewIgnoredInputs(log, stats.NewServer(stats.Config{}))
	return NewDirectory(Config{Ignored: ignored, Self: self, Store: shared}), &logged
}

// writeCounter counts writes, other than deletes.
type writeCounter struct {
	*store.Memory
	puts int
}

func (w *writeCounter) Put(ctx context.Context, key string, value []byte, expected store.Version) (store.Object, error) {
	w.puts++
	return w.Memory.Put(ctx, key, value, expected)
}

func TestSecondMemberToJoinSeesBoth(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	shared := store.NewMemory()
	first, _ := newTestDirectory(shared, agent)
	second, _ := newTestDirectory(shared, balancer)
	list, err := first.Join(ctx, true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(list.Members).To(gomega.ConsistOf(agent))
	list, err = second.Join(ctx, true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(list.Members).To(gomega.ConsistOf(agent, balancer))
}

func TestJoinDoesNotRewriteListedMember(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	shared := store.NewMemory()
	directory, _ := newTestDirectory(shared, agent)
	_, err := directory.Join(ctx, true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	before, err := shared.Get(ctx, key(agent.Address))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, first := range []bool{true, false} {
		list, err := directory.Join(ctx, first)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(list.Members).To(gomega.ConsistOf(agent))
	}
	after, err := shared.Get(ctx, key(agent.Address))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(after.Version).To(gomega.Equal(before.Version))
}

func TestJoinReplacesEntryWithAnotherRole(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	shared := store.NewMemory()
	older, _ := newTestDirectory(shared, agent)
	_, err := older.Join(ctx, true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	newer, _ := newTestDirectory(shared, Member{Address: agent.Address, Role: RoleBalancer})
	list, err := newer.Join(ctx, true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(list.Members).To(gomega.ConsistOf(Member{Address: agent.Address, Role: RoleBalancer}))
}

func TestInvalidEntriesAreLoggedAndSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	shared := store.NewMemory()
	invalid := map[string]string{
		"10-1-0-10-0":      `{"address":"10.1.0.10:0","role":"agent"}`,
		"10-1-0-11-70000":  `{"address":"10.1.0.11:70000","role":"agent"}`,
		"10-1-0-9-7000":    `{"address":"10.1.0.9:7000","role":"router"}`,
		"[--1]-7000":       `{"address":"[::1]:7000","role":"balancer"}`,
		"0-0-0-0-7000":     `{"address":"0.0.0.0:7000","role":"agent"}`,
		"224-0-0-1-7000":   `{"address":"224.0.0.1:7000","role":"agent"}`,
		"another":          `{"address":"10.1.0.12:7000","role":"agent"}`,
		"deeply-nested":    strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"garbage":          `{`,
		"large-number":     `{"address":1e400,"role":"agent"}`,
		"nowhere":          `{"address":"nowhere","role":"agent"}`,
		"numbers-for-text": `{"address":7,"role":7}`,
		"unreadable":       "\xff\xfe",
	}
	for name, value := range invalid {
		_, err := shared.Put(ctx, Prefix+name, []byte(value), store.Version{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	directory, logged := newTestDirectory(shared, agent)
	list, err := directory.Join(ctx, true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(list.Members).To(gomega.ConsistOf(agent))
	for name := range invalid {
		g.Expect(logged.String()).To(gomega.ContainSubstring(Prefix + name))
	}
}

func TestMarkedMemberIsListedAndJoinsAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	shared := store.NewMemory()
	a, _ := newTestDirectory(shared, agent)
	b, _ := newTestDirectory(shared, balancer)
	for _, directory := range []*Directory{a, b} {
		_, err := directory.Join(ctx, true)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	marked := agent
	marked.Marked = true
	for range 2 {
		g.Expect(b.Mark(ctx, agent.Address)).To(gomega.Succeed())
		list, err := b.List(ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(list.Members).To(gomega.ConsistOf(marked, balancer))
		g.Expect(a.HasEntry(ctx)).To(gomega.BeFalse())
	}
	writes := &writeCounter{Memory: shared}
	a.config.Store = writes
	list, err := a.Join(ctx, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(list.Members).To(gomega.ConsistOf(agent, balancer))
	g.Expect(writes.puts).To(gomega.Equal(1), "the list gives the version to replace")
	g.Expect(a.Leave(ctx)).To(gomega.Succeed())
	g.Expect(writes.puts).To(gomega.Equal(2), "the version to mark is known")
	list, err = b.List(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(list.Members).To(gomega.ConsistOf(balancer))
}

func TestMemberFindsThatItsEntryWasLost(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	shared := store.NewMemory()
	backup := shared.Backup()
	directory, _ := newTestDirectory(shared, agent)
	_, err := directory.Join(ctx, true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(directory.HasEntry(ctx)).To(gomega.BeTrue())
	shared.Restore(backup)
	g.Expect(directory.HasEntry(ctx)).To(gomega.BeFalse())
	g.Expect(directory.Register(ctx)).To(gomega.Succeed())
	g.Expect(directory.HasEntry(ctx)).To(gomega.BeTrue())
}

func TestListIsCompleteOnlyInTheEraOfItsMark(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	shared := store.NewMemory()
	directory, logged := newTestDirectory(shared, agent)
	list, err := directory.Join(ctx, true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(list.Complete).To(gomega.BeFalse())
	for range 3 {
		era := shared.Era()
		for range 2 {
			g.Expect(directory.MarkComplete(ctx, era)).To(gomega.Succeed())
			list, err = directory.List(ctx)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(list).To(gomega.Equal(List{Complete: true, Members: []Member{agent}}))
		}
		shared.Restore(shared.Backup())
		g.Expect(directory.MarkComplete(ctx, era)).To(gomega.Succeed()) // a late writer of the era before
		list, err = directory.List(ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(list).To(gomega.Equal(List{Members: []Member{agent}}))
	}
	g.Expect(logged.String()).To(gomega.BeEmpty())
}
