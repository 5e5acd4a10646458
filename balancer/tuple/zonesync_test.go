package tuple

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/netio"
	"github.com/cyclamendock/cyclamendock/lib/seeded"
	"github.com/cyclamendock/cyclamendock/lib/store"
	"github.com/cyclamendock/cyclamendock/lib/zones"
)

const (
	// maxZoneLag is the time within which every balancer must know of an evacuation that the store has confirmed.
	maxZoneLag   = 5 * time.Second
	listDuration = 10 * time.Millisecond
	noticeDelay  = 20 * time.Millisecond
)

// zoneBalancer is a simulated balancer.
type zoneBalancer struct {
	address    netip.AddrPort
	cursor     int // position of its digests among the balancers
	down       bool
	listEnd    time.Time // when the list in progress ends; zero when there is none
	listed     zones.State
	requested  time.Time // when the list in progress was requested
	sync       zoneSync
	tickOffset time.Duration
	tracker    *zones.Tracker
}

// zoneDigest is a digest in transit.
type zoneDigest struct {
	arrival  time.Time
	digest   flows.Digest
	from, to *zoneBalancer
}

// zoneSim simulates balancers that list and spread the evacuated availability zones of one store, in virtual time.
type zoneSim struct {
	balancers []*zoneBalancer
	digests   []zoneDigest // in order of arrival
	sent      int          // digests so far
	entries   []uint64
	lists     int
	loss      float64
	now       time.Time
	outage    bool
	random    *rand.Rand
	version   store.Version
}

// newZoneSim returns balancers that start now and know nothing.
func newZoneSim(seed uint64, count int, loss float64) *zoneSim {
	s := &zoneSim{loss: loss, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 11)), version: store.Version{Era: 1, Revision: 1}}
	for i := range count {
		s.balancers = append(s.balancers, &zoneBalancer{
			address:    netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200)),
			cursor:     s.random.IntN(count),
			tickOffset: time.Duration(s.random.Int64N(int64(time.Second))),
		})
		s.restart(s.balancers[i])
	}
	return s
}

// restart starts a balancer's process, which knows nothing.
func (s *zoneSim) restart(b *zoneBalancer) {
	b.down, b.listEnd, b.tracker = false, time.Time{}, &zones.Tracker{}
	b.sync = newZoneSync(b.address, maxZoneLag, maxZoneLag, s.random.Float64, b.tracker)
}

// set replaces the entries in the store.
func (s *zoneSim) set(entries ...uint64) {
	s.entries = entries
	s.version.Revision++
}

func (s *zoneSim) send(from, to *zoneBalancer, digest flows.Digest) {
	digest.Zones = from.tracker.State()
	s.sent++
	if to != from && s.random.Float64() >= s.loss {
		s.digests = append(s.digests, zoneDigest{arrival: s.now.Add(noticeDelay), digest: digest, from: from, to: to})
	}
}

func (s *zoneSim) sendAll(from *zoneBalancer, digest flows.Digest) {
	for _, to := range s.balancers {
		s.send(from, to, digest)
	}
}

func (s *zoneSim) sendSome(from *zoneBalancer) {
	for range digestFanout {
		from.cursor++
		s.send(from, s.balancers[from.cursor%len(s.balancers)], flows.Digest{})
	}
}

func (s *zoneSim) deliver() {
	for len(s.digests) > 0 && !s.now.Before(s.digests[0].arrival) {
		d := s.digests[0]
		s.digests = s.digests[1:]
		if d.to.down {
			continue
		}
		if d.to.sync.recordDigest(s.now, d.digest, d.from.address).Any() {
			s.sendSome(d.to)
		}
		if d.to.sync.ahead(d.digest) && !d.digest.IsReply {
			s.send(d.to, d.from, flows.Digest{IsReply: true})
		}
	}
}

// step runs one balancer's timers.
func (s *zoneSim) step(b *zoneBalancer) {
	if !b.listEnd.IsZero() && !s.now.Before(b.listEnd) {
		b.listEnd = time.Time{}
		if !b.listed.Known {
			b.sync.recordListFailure(s.now, len(s.balancers))
		} else {
			change, forAll := b.sync.recordList(s.now, b.requested, b.listed)
			switch {
			case forAll && change.Any():
				s.sendAll(b, flows.Digest{})
			case change.Any():
				s.sendSome(b)
			}
			if forAll {
				s.sendAll(b, flows.Digest{ZonesFromStore: true})
			}
		}
	}
	since := s.now.Add(b.tickOffset)
	if since.UnixMilli()%digestInterval.Milliseconds() == 0 {
		s.sendSome(b)
	}
	if since.UnixMilli()%configCheckTick.Milliseconds() != 0 {
		return
	}
	if b.sync.takeRepeat() {
		s.sendAll(b, flows.Digest{})
	}
	if b.listEnd.IsZero() && b.sync.due(s.now, false) {
		s.lists++
		b.requested, b.listEnd, b.listed = s.now, s.now.Add(listDuration), zones.State{}
		if !s.outage {
			b.listed, _ = zones.NewState(s.version, s.entries)
		}
	}
}

// run runs all balancers for a time.
func (s *zoneSim) run(duration time.Duration) { s.runUntil(duration, func() bool { return false }) }

// runUntil runs all balancers until the condition holds, and returns after which time it did, at most the limit.
func (s *zoneSim) runUntil(limit time.Duration, holds func() bool) time.Duration {
	const step = time.Millisecond
	started := s.now
	for s.now.Sub(started) < limit && !holds() {
		s.deliver()
		for _, b := range s.balancers {
			if !b.down {
				s.step(b)
			}
		}
		s.now = s.now.Add(step)
	}
	return s.now.Sub(started)
}

// agree reports whether all running balancers know the entries in the store.
func (s *zoneSim) agree() bool {
	want, _ := zones.NewState(s.version, s.entries)
	for _, b := range s.balancers {
		if !b.down && want.Differs(b.tracker.State()) {
			return false
		}
	}
	return true
}

// crashReaders ends the processes of all balancers that take themselves for the reader.
func (s *zoneSim) crashReaders() {
	for _, b := range s.balancers {
		if b.sync.reads.isReader() {
			b.down = true
		}
	}
}

// listJustRead reports whether a reader has made a list within the last step, which does not show changes from now on.
func (s *zoneSim) listJustRead() bool {
	for _, b := range s.balancers {
		if !b.down && b.sync.reads.isReader() && b.listEnd.IsZero() && s.now.Sub(b.requested) == listDuration+time.Millisecond {
			return true
		}
	}
	return false
}

// Guards against balancers that learn of an evacuation, or of its end, too late: with lost datagrams, when the reader crashes right after
// a list without the entry, and at any number of balancers.
func TestEvacuationIsKnownInTimeDespiteDeadReaderAndPacketLoss(t *testing.T) {
	for _, count := range []int{1, 5, 59, 430} {
		for _, loss := range []float64{0, 0.1} {
			checkZoneLag(t, newZoneSim(seeded.Seed(), count, loss), false)
			if count > 1 {
				checkZoneLag(t, newZoneSim(seeded.Seed(), count, loss), true)
			}
		}
	}
}

// checkZoneLag evacuates an availability zone right after a list, after which the reader may crash, and ends that later.
func checkZoneLag(t *testing.T, s *zoneSim, crash bool) {
	g := gomega.NewWithT(t)
	what := fmt.Sprintf("%d balancers, loss %v, crash %t", len(s.balancers), s.loss, crash)
	s.run(12 * time.Second)
	g.Expect(s.agree()).To(gomega.BeTrue(), what)
	g.Expect(s.runUntil(maxZoneLag, s.listJustRead)).To(gomega.BeNumerically("<", maxZoneLag), what)
	s.set(7, 8)
	if crash {
		s.crashReaders()
	}
	lag := s.runUntil(2*maxZoneLag, s.agree)
	t.Logf("%s: all know after %v", what, lag)
	g.Expect(lag).To(gomega.BeNumerically("<", maxZoneLag), "evacuation, %s", what)
	g.Expect(s.runUntil(maxZoneLag, s.listJustRead)).To(gomega.BeNumerically("<", maxZoneLag), what)
	s.set(8)
	g.Expect(s.runUntil(2*maxZoneLag, s.agree)).To(gomega.BeNumerically("<", maxZoneLag), "removal, %s", what)
}

// Guards against lists by every balancer: calls to the store are the most expensive resource.
func TestOneBalancerListsZonesForAll(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, count := range []int{5, 59, 430} {
		s := newZoneSim(seeded.Seed(), count, 0)
		s.run(time.Second)
		g.Expect(s.lists).To(gomega.BeNumerically("<=", count), "one at each start, %d balancers", count)
		g.Expect(s.sent).To(gomega.BeNumerically("<=", 12*count), "%d balancers", count)
		s.run(2 * maxZoneLag)
		s.lists = 0
		s.run(30 * time.Second)
		const interval = time.Duration(configCheckShare * float64(maxZoneLag))
		g.Expect(s.lists).To(gomega.BeNumerically("<=", int(30*time.Second/interval)+1), "%d balancers", count)
	}
}

// Guards against processes that take an outage for an empty list, and against a late list after it: an entry may be confirmed right before
// the outage.
func TestEvacuationRightBeforeAnOutageIsKnownInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, count := range []int{5, 59, 430} {
		s := newZoneSim(seeded.Seed(), count, 0.1)
		s.set(3)
		s.run(10 * time.Second)
		s.set(3, 7)
		s.outage = true
		s.run(4500 * time.Millisecond)
		for _, b := range s.balancers {
			g.Expect(b.tracker.State().Contains(3)).To(gomega.BeTrue(), "a failed list removes nothing")
		}
		s.outage = false
		lag := s.runUntil(maxZoneLag, s.agree)
		t.Logf("%d balancers: all know %v after the outage", count, lag)
		g.Expect(lag).To(gomega.BeNumerically("<", maxZoneLag-4500*time.Millisecond), "%d balancers", count)
	}
}

// Guards against balancers that restart during an outage and fill an evacuated zone again, and against a state that stays unknown after it.
func TestBalancersLearnOfEvacuationsDuringAnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, count := range []int{5, 59, 430} {
		s := newZoneSim(seeded.Seed(), count, 0.1)
		s.set(7)
		s.run(10 * time.Second)
		s.outage = true
		s.restart(s.balancers[2])
		lag := s.runUntil(maxZoneLag, s.agree)
		g.Expect(lag).To(gomega.BeNumerically("<", 2*time.Second), "%d balancers, one restarts", count)
		for _, b := range s.balancers {
			s.restart(b)
		}
		s.digests = nil
		s.run(10 * time.Second)
		for _, b := range s.balancers {
			g.Expect(b.tracker.State().Known).To(gomega.BeFalse(), "all have restarted")
		}
		s.outage = false
		lag = s.runUntil(maxZoneLag, s.agree)
		g.Expect(lag).To(gomega.BeNumerically("<", 2*time.Second), "%d balancers, all have restarted", count)
	}
}

// Guards against a restored store whose entries are ignored, as its revisions are lower than before.
func TestRestoredStoreReplacesTheState(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, count := range []int{5, 59, 430} {
		s := newZoneSim(seeded.Seed(), count, 0.1)
		s.version.Revision = 50
		s.set(7, 8)
		s.run(10 * time.Second)
		g.Expect(s.agree()).To(gomega.BeTrue())
		s.version = store.Version{Era: 2, Revision: 20}
		s.set(8, 9)
		lag := s.runUntil(2*maxZoneLag, s.agree)
		g.Expect(lag).To(gomega.BeNumerically("<", maxZoneLag), "%d balancers", count)
	}
}

// Guards against a notice of an older list that delays the next one, as of a reader that was frozen between its list and its notice.
func TestOlderNoticeDelaysNoList(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newZoneSim(seeded.Seed(), 2, 0)
	b, now := s.balancers[0], s.now
	old, _ := zones.NewState(store.Version{Era: 1, Revision: 4}, nil)
	state, _ := zones.NewState(store.Version{Era: 1, Revision: 5}, []uint64{7})
	b.sync.recordList(now, now, state)
	b.sync.recordList(now, now, state)
	now = now.Add(maxZoneLag)
	b.sync.recordDigest(now, flows.Digest{Zones: old, ZonesFromStore: true}, s.balancers[1].address)
	g.Expect(b.sync.due(now, false)).To(gomega.BeTrue())
	b.sync.recordDigest(now, flows.Digest{Zones: state, ZonesFromStore: true}, s.balancers[1].address)
	g.Expect(b.sync.due(now, false)).To(gomega.BeFalse())
}

// Guards against calls to the store for evacuations on deployments that have none.
func TestDeploymentWithoutZoneDeadlineListsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	n, _ := newTestNode(t)
	n.director.SetRoutes(time.Now(), flows.Routes{Version: 1})
	config, zones := n.readsDue(time.Now())
	g.Expect(config).To(gomega.BeTrue())
	g.Expect(zones).To(gomega.BeFalse())
	g.Expect(n.handleDigest(time.Now(), flows.Digest{ZonesFromStore: true}.Append(nil), testAgentAddress(1).AddrPort())).To(gomega.BeTrue())
}

// Guards against a balancer that has lost every datagram about a change and is not answered when its own digest shows that, and against
// answers to each digest of an older version with the same set.
func TestDigestWithAnOlderSetIsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newZoneSim(seeded.Seed(), 1, 0)
	ours := &s.balancers[0].sync
	digest := func(revision uint64, hashes ...uint64) flows.Digest {
		state, _ := zones.NewState(store.Version{Era: 1, Revision: revision}, hashes)
		return flows.Digest{Zones: state}
	}
	g.Expect(ours.ahead(flows.Digest{})).To(gomega.BeFalse(), "neither knows anything")
	ours.recordDigest(s.now, digest(5, 7), s.balancers[0].address)
	g.Expect(ours.ahead(flows.Digest{})).To(gomega.BeTrue())
	g.Expect(ours.ahead(digest(4))).To(gomega.BeTrue())
	g.Expect(ours.ahead(digest(4, 7))).To(gomega.BeFalse())
	g.Expect(ours.ahead(digest(6))).To(gomega.BeFalse())
}

// Guards against a reader that finds the store back too late, and against all balancers that call a store which is down as often as it.
func TestPauseAfterAFailedListDependsOnTheRole(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newZoneSim(seeded.Seed(), 2, 0)
	state, _ := zones.NewState(s.version, nil)
	pause := func(sync *zoneSync, balancers int) time.Duration {
		sync.reads.random = func() float64 { return 0.5 }
		sync.recordListFailure(s.now, balancers)
		return sync.reads.retryAt.Sub(s.now)
	}
	reader, other := &s.balancers[0].sync, &s.balancers[1].sync
	g.Expect(pause(other, 5)).To(gomega.Equal(netio.MaxRetryPause), "it has not listed yet and may not know all balancers")
	for _, sync := range []*zoneSync{reader, other} {
		sync.recordList(s.now, s.now, state)
	}
	reader.recordList(s.now, s.now, state)
	g.Expect(pause(reader, 430)).To(gomega.Equal(zoneRetryPause))
	g.Expect(pause(other, 5)).To(gomega.Equal(5 * zoneRetryPause))
	g.Expect(pause(other, 430)).To(gomega.Equal(netio.MaxRetryPause))
	g.Expect(other.due(other.reads.retryAt.Add(-1), true)).To(gomega.BeFalse())
	g.Expect(other.due(other.reads.retryAt, true)).To(gomega.BeTrue())
}
