package tuple

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/seeded"
)

// maxConfigLag is the time within which every balancer must apply a change of the configuration.
const maxConfigLag = 3 * time.Second

// testBalancer is a balancer that shares the reading of the configuration with others.
type testBalancer struct {
	address    netip.AddrPort
	down       bool // neither reads nor sends
	lastRead   time.Time
	peers      *peerSet
	tickOffset time.Duration // offset of its ticks
}

func newTestBalancers(now time.Time, count int, random *rand.Rand) []*testBalancer {
	balancers := make([]*testBalancer, count)
	for i := range balancers {
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.1:7000", i))
		balancers[i] = &testBalancer{
			address:    address,
			lastRead:   now,
			peers:      newPeerSet(address, nil),
			tickOffset: time.Duration(random.Int64N(int64(configCheckTick))),
		}
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
	to      *testBalancer
}

func (s *simulation) exchangeDigests() {
	for _, from := range s.balancers {
		for _, to := range s.balancers {
			if !from.down && from != to {
				to.peers.markSeen(s.now, from.address)
			}
		}
	}
}

// announceRead sends notices that a balancer has just read the configuration; each datagram may be lost.
func (s *simulation) announceRead(from *testBalancer, lost func() bool) {
	const delay = 20 * time.Millisecond
	s.reads++
	from.lastRead = s.now
	for _, to := range s.balancers {
		if to != from && !lost() {
			s.notices = append(s.notices, readNotice{arrival: s.now.Add(delay), readAt: s.now, to: to})
		}
	}
}

func (s *simulation) deliver() {
	for len(s.notices) > 0 && !s.now.Before(s.notices[0].arrival) {
		s.notices[0].to.lastRead = s.notices[0].readAt
		s.notices = s.notices[1:]
	}
}

func (s *simulation) run(duration time.Duration, lost func() bool) {
	const step = time.Millisecond
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(step) {
		if s.now.UnixMilli()%digestInterval.Milliseconds() == 0 {
			s.exchangeDigests()
		}
		s.deliver()
		for _, b := range s.balancers {
			if b.down {
				continue
			}
			s.longestGap = max(s.longestGap, s.now.Sub(b.lastRead))
			if s.now.Add(b.tickOffset).UnixMilli()%configCheckTick.Milliseconds() == 0 && b.peers.configCheckDue(s.now, b.lastRead) {
				s.announceRead(b, lost)
			}
		}
	}
}

func neverLost() bool { return false }

func TestOneBalancerReadsConfigForAll(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(seeded.Seed(), 0))
	for _, count := range []int{1, 2, 9, 40} {
		s := &simulation{now: time.Unix(0, 0)}
		s.balancers = newTestBalancers(s.now, count, random)
		s.exchangeDigests()
		const duration = time.Minute
		s.run(duration, neverLost)
		g.Expect(s.reads).To(gomega.BeNumerically("<=", int(duration/configCheckInterval)), "%d balancers", count)
		g.Expect(s.longestGap).To(gomega.BeNumerically("<", maxConfigLag), "%d balancers", count)
	}
}

func TestConfigIsReadInTimeDespiteDeadBalancersAndPacketLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(seeded.Seed(), 1))
	lost := func() bool { return random.IntN(10) == 0 }
	for down := range 4 {
		s := &simulation{now: time.Unix(0, 0)}
		s.balancers = newTestBalancers(s.now, 9, random)
		s.exchangeDigests()
		s.run(10*time.Second, lost)
		for _, b := range s.balancers[:down] {
			b.down = true
		}
		s.run(20*time.Second, lost)
		g.Expect(s.longestGap).To(gomega.BeNumerically("<", maxConfigLag), "%d balancers down", down)
	}
}

func TestExactlyOneLiveBalancerIsResponsibleForAnAgent(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(seeded.Seed(), 2))
	s := &simulation{now: time.Unix(0, 0)}
	s.balancers = newTestBalancers(s.now, 7, random)
	s.exchangeDigests()
	s.balancers[0].down = true
	s.now = s.now.Add(peerTimeout)
	s.exchangeDigests()
	for i := range 50 {
		agent := flows.EndpointOf(netip.MustParseAddrPort(fmt.Sprintf("10.1.%d.1:7000", i)))
		responsible := 0
		for _, b := range s.balancers[1:] {
			if b.peers.isResponsible(s.now, agent) {
				responsible++
			}
		}
		g.Expect(responsible).To(gomega.Equal(1), agent.String())
	}
}
