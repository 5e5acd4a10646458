package member

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamendock/cyclamendock/lib/flaky"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

// lateDeletes returns a store that executes the next deletes late.
func lateDeletes(shared store.Store, count int) *flaky.Store {
	return flaky.New(shared, func(call string) flaky.Fault {
		if call != "delete" || count == 0 {
			return flaky.NoFault
		}
		count--
		return flaky.ExecutedLate
	})
}

// Guards against a delete that the store executes late: it removed the entry that a process had confirmed since.
func TestLateDeleteSparesTheEntryOfAProcessThatStays(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	shared := lateDeletes(store.NewMemory(), 1)
	directory, _ := newTestDirectory(shared, agent)
	_, err := directory.Join(ctx, true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(directory.Leave(ctx)).NotTo(gomega.Succeed())
	list, err := directory.Join(ctx, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(list.Members).To(gomega.ConsistOf(agent))
	shared.ExecuteLate(0)
	g.Expect(directory.HasEntry(ctx)).To(gomega.BeTrue())
}

// Guards against a delete of an earlier process at the same address, whose answer nobody waits for any more.
func TestLateDeleteOfAnEarlierProcessSparesTheEntryOfTheNextOne(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	shared := lateDeletes(store.NewMemory(), 1)
	earlier, _ := newTestDirectory(shared, agent)
	_, err := earlier.Join(ctx, true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(earlier.Leave(ctx)).NotTo(gomega.Succeed())
	next, _ := newTestDirectory(shared, agent)
	for _, first := range []bool{false, true} {
		_, err = next.Join(ctx, first)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	shared.ExecuteLate(0)
	g.Expect(next.HasEntry(ctx)).To(gomega.BeTrue())
}

// Guards against a balancer's delete of the entry of a silent agent that is executed after the agent has confirmed its entry.
func TestLateRemovalByABalancerSparesTheEntryOfAnAgentThatReturns(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	shared := lateDeletes(store.NewMemory(), 1)
	silent, _ := newTestDirectory(shared, agent)
	reader, _ := newTestDirectory(shared, balancer)
	_, err := silent.Join(ctx, true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reader.Mark(ctx, agent.Address)).To(gomega.Succeed())
	purger := NewPurger(shared)
	_, err = purger.Purge(ctx, time.Unix(0, 0))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = purger.Purge(ctx, time.Unix(0, 0).Add(removalAge))
	g.Expect(err).To(gomega.HaveOccurred())
	_, err = silent.Join(ctx, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	shared.ExecuteLate(0)
	g.Expect(silent.HasEntry(ctx)).To(gomega.BeTrue())
}

// churn plays one agent's processes, which join, leave and restart, and balancers that mark and purge the agent's entry, on a store
// that loses and delays writes.
type churn struct {
	checkedAt time.Time // when the running process last found or stored its entry
	ctx       context.Context
	joined    bool // the running process relies on its entry
	now       time.Time
	other     *Directory
	purger    *Purger
	self      *Directory
	shared    *flaky.Store
}

func (c *churn) join(first bool) {
	_, err := c.self.Join(c.ctx, first)
	c.joined = err == nil
	c.checkedAt = c.now
}

// wait lets time pass; a joined process checks its entry in time, as its guard does, until the store answers.
func (c *churn) wait(d time.Duration) {
	c.now = c.now.Add(d)
	if !c.joined || c.now.Sub(c.checkedAt) < entryCheckInterval {
		return
	}
	for c.joined = false; !c.joined; {
		c.join(false)
	}
}

func (c *churn) leave() {
	c.joined = false
	_ = c.self.Leave(c.ctx) // the process may join again after any result
}

// restart starts the next process at the agent's address.
func (c *churn) restart() {
	c.joined = false
	c.self, _ = newTestDirectory(c.shared, agent)
}

// Guards against every order of joins, leaves, restarts, marks, purges and late writes in which the entry that a process relies on
// goes.
func TestEntryOfAJoinedProcessOutlivesAllLateWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := flaky.New(store.NewMemory(), func(call string) flaky.Fault {
			if call != "put" && call != "delete" {
				return flaky.NoFault
			}
			return rapid.SampledFrom([]flaky.Fault{flaky.NoFault, flaky.RequestLost, flaky.ResponseLost, flaky.ExecutedLate}).Draw(t, call)
		})
		c := &churn{ctx: context.Background(), now: time.Unix(0, 0), purger: NewPurger(shared), shared: shared}
		c.other, _ = newTestDirectory(shared, balancer)
		c.restart()
		t.Repeat(map[string]func(*rapid.T){
			"joinFirst": func(*rapid.T) { c.join(true) },
			"joinAgain": func(*rapid.T) { c.join(false) },
			"leave":     func(*rapid.T) { c.leave() },
			"restart":   func(*rapid.T) { c.restart() },
			"mark":      func(*rapid.T) { _ = c.other.Mark(c.ctx, agent.Address) }, // a lost answer changes nothing here
			"purge":     func(*rapid.T) { _, _ = c.purger.Purge(c.ctx, c.now) },    // nor does it here
			"wait": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "checks") {
					c.wait(entryCheckInterval)
				}
			},
			"executeLate": func(t *rapid.T) {
				if count := shared.LateCount(); count > 0 {
					shared.ExecuteLate(rapid.IntRange(0, count-1).Draw(t, "which"))
				}
			},
			"": func(t *rapid.T) {
				list, err := c.other.List(c.ctx)
				if err != nil || c.joined && len(list.Members) == 0 {
					t.Fatalf("the process relies on its entry, and the list is %v (%v)", list.Members, err)
				}
			},
		})
	})
}
