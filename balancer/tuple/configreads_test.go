package tuple

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/seeded"
)

// maxConfigLag is the time within which every balancer must apply a change of the configuration.
const maxConfigLag = 3 * time.Second

// testBalancer is a balancer that shares the reading of the configuration with others.
type testBalancer struct {
	address    netip.AddrPort
	down       bool // neither reads nor sends
	reads      configReads
	tickOffset time.Duration // offset of its ticks
}

func newTestBalancers(now time.Time, count int, random *rand.Rand) []*testBalancer {
	balancers := make([]*testBalancer, count)
	for i := range balancers {
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200))
		balancers[i] = &testBalancer{
			address:    address,
			reads:      newConfigReads(address, maxConfigLag, random.Float64),
			tickOffset: time.Duration(random.Int64N(int64(configCheckTick))),
		}
		balancers[i].reads.recordRead(now)
	}
	return balancers
}

// simulation runs balancers in virtual time.
type simulation struct {
	balancers  []*testBalancer
	longestGap time.Duration // longest time that a live balancer neither read nor got a notice of a read
	notices    []readNotice
	now        time.Time
	reads      int
}

// readNotice is a message in flight that states when the configuration was read.
type readNotice struct {
	arrival time.Time
	readAt  time.Time
	reader  netip.AddrPort
	to      *testBalancer
}

// announceRead sends notices that a balancer has just read the configuration; each datagram may be lost.
func (s *simulation) announceRead(from *testBalancer, lost func() bool) {
	const delay = 20 * time.Millisecond
	s.reads++
	from.reads.recordNotice(s.now, from.address)
	for _, to := range s.balancers {
		if to != from && !lost() {
			s.notices = append(s.notices, readNotice{arrival: s.now.Add(delay), readAt: s.now, reader: from.address, to: to})
		}
	}
}

func (s *simulation) deliver() {
	for len(s.notices) > 0 && !s.now.Before(s.notices[0].arrival) {
		s.notices[0].to.reads.recordNotice(s.notices[0].readAt, s.notices[0].reader)
		s.notices = s.notices[1:]
	}
}

func (s *simulation) run(duration time.Duration, lost func() bool) {
	const step = time.Millisecond
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(step) {
		s.deliver()
		for _, b := range s.balancers {
			if b.down {
				continue
			}
			s.longestGap = max(s.longestGap, s.now.Sub(b.reads.lastRead))
			if s.now.Add(b.tickOffset).UnixMilli()%configCheckTick.Milliseconds() == 0 && b.reads.due(s.now) {
				s.announceRead(b, lost)
			}
		}
	}
}

func neverLost() bool { return false }

func TestOneBalancerReadsConfigForAll(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(seeded.Seed(), 0))
	for _, count := range []int{1, 2, 9, 40, 430} {
		s := &simulation{now: time.Unix(0, 0)}
		s.balancers = newTestBalancers(s.now, count, random)
		s.run(2*maxConfigLag, neverLost) // until the first reader is found; see TestFewBalancersTakeOverAtOnce
		s.reads = 0
		const duration = time.Minute
		s.run(duration, neverLost)
		const checkInterval = time.Duration(configCheckShare * float64(maxConfigLag))
		g.Expect(s.reads).To(gomega.BeNumerically("<=", int(duration/checkInterval)), "%d balancers", count)
		g.Expect(s.longestGap).To(gomega.BeNumerically("<", maxConfigLag), "%d balancers", count)
		readers := 0
		for _, b := range s.balancers {
			if b.reads.isReader() {
				readers++
			}
		}
		g.Expect(readers).To(gomega.Equal(1), "%d balancers", count)
	}
}

func TestConfigIsReadInTimeDespiteDeadBalancersAndPacketLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(seeded.Seed(), 1))
	lost := func() bool { return random.IntN(10) == 0 }
	for _, count := range []int{9, 59, 430} {
		for down := range 4 {
			s := &simulation{now: time.Unix(0, 0)}
			s.balancers = newTestBalancers(s.now, count, random)
			s.run(10*time.Second, lost)
			s.stopReaders(down)
			s.run(20*time.Second, lost)
			g.Expect(s.longestGap).To(gomega.BeNumerically("<", maxConfigLag), "%d of %d balancers down", down, count)
		}
	}
}

// stopReaders stops the given number of balancers, those that read the configuration first.
func (s *simulation) stopReaders(count int) {
	byRole := slices.Clone(s.balancers)
	slices.SortStableFunc(byRole, func(x, y *testBalancer) int {
		switch {
		case x.reads.isReader() == y.reads.isReader():
			return 0
		case x.reads.isReader():
			return -1
		default:
			return 1
		}
	})
	for _, b := range byRole[:count] {
		b.down = true
	}
}

func TestProofsWaitUntilAgentsHaveRegisteredAfterOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	reads := newConfigReads(netip.MustParseAddrPort("10.0.0.1:7000"), maxConfigLag, noRandom)
	reads.recordRead(now)
	g.Expect(reads.untilSettled(now)).To(gomega.BeZero())
	now = now.Add(maxConfigLag)
	reads.recordRead(now)
	g.Expect(reads.untilSettled(now)).To(gomega.BeZero(), "no read was missed")
	now = now.Add(maxConfigLag + 1)
	reads.recordRead(now)
	g.Expect(reads.untilSettled(now)).To(gomega.Equal(joinTimeout), "nobody could read the configuration in time")
	now = now.Add(joinTimeout)
	g.Expect(reads.untilSettled(now)).To(gomega.BeZero())
	reads.recordFailure(now)
	g.Expect(reads.untilSettled(now)).To(gomega.Equal(joinTimeout), "a call to the store has failed")
}

func TestFewBalancersTakeOverAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(seeded.Seed(), 3))
	const noticeDelay = 20 * time.Millisecond
	for _, count := range []int{5, 59, 430} {
		takeovers := 0
		const rounds = 200
		for range rounds {
			delays := make([]time.Duration, count)
			for i := range delays {
				delays[i] = drawTakeover(maxConfigLag, random.Float64())
			}
			first := slices.Min(delays)
			for _, delay := range delays {
				if delay <= first+noticeDelay {
					takeovers++
				}
			}
			g.Expect(slices.Max(delays)).To(gomega.BeNumerically("<=", time.Duration(takeoverShare*float64(maxConfigLag))))
		}
		g.Expect(takeovers).To(gomega.BeNumerically("<", 3*rounds), "%d balancers", count)
	}
}

func TestReaderThatDoesNotAnswerIsForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	self, other := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
	reads := newConfigReads(self, maxConfigLag, noRandom)
	reads.recordNotice(time.Unix(0, 0), other)
	reads.forgetReader(self)
	g.Expect(reads.reader).To(gomega.Equal(other))
	reads.forgetReader(other)
	g.Expect(reads.reader.IsValid()).To(gomega.BeFalse())
	g.Expect(reads.isReader()).To(gomega.BeFalse())
	reads.recordNotice(time.Unix(1, 0), other)
	g.Expect(reads.reader).To(gomega.Equal(other))
}

func TestEachFailedCallToTheStoreDelaysProofs(t *testing.T) {
	g := gomega.NewWithT(t)
	n, output := newTestNode(t)
	g.Expect(n.configReads.untilSettled(time.Now())).To(gomega.BeZero())
	n.handleStoreError("This balancer can't join.", errors.New("no answer"))
	g.Expect(n.configReads.untilSettled(time.Now())).To(gomega.BeNumerically(">", joinTimeout/2))
	g.Expect(output.String()).To(gomega.ContainSubstring("This balancer can't join."))
}

// noRandom stands for a random number where none matters.
func noRandom() float64 { return 0 }

// Two balancers take over at once, so that the notice of each crosses that of the other.
func TestOneOfSeveralReadersAtOnceStays(t *testing.T) {
	g := gomega.NewWithT(t)
	low, high := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
	now := time.Unix(0, 0)
	first, second := newConfigReads(low, maxConfigLag, noRandom), newConfigReads(high, maxConfigLag, noRandom)
	first.recordNotice(now, low)
	second.recordNotice(now, high)
	first.recordNotice(now.Add(time.Millisecond), high)
	second.recordNotice(now.Add(time.Millisecond), low)
	g.Expect(first.reader).To(gomega.Equal(low))
	g.Expect(second.reader).To(gomega.Equal(low))
	later := now.Add(maxConfigLag)
	first.recordNotice(later, high) // it has failed meanwhile, and another one has taken over
	g.Expect(first.reader).To(gomega.Equal(high))
}
