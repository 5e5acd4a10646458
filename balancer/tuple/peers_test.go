package tuple

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/proof"
)

// inForce is the time within which a change of the configuration has to be in force on every balancer.
const inForce = 3 * time.Second

// A reader is one balancer that takes turns in reading the configuration.
type reader struct {
	address netip.AddrPort
	checked time.Time
	offset  time.Duration // of its ticks
	peers   *peers
	silent  bool // reads nothing and says nothing
}

func newReaders(now time.Time, count int, random *rand.Rand) []*reader {
	readers := make([]*reader, count)
	for i := range readers {
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.1:7000", i))
		readers[i] = &reader{
			address: address,
			checked: now,
			offset:  time.Duration(random.Int64N(int64(checkTick))),
			peers:   newPeers(address, nil),
		}
	}
	return readers
}

// A turns is a run of readers in virtual time.
type turns struct {
	now     time.Time
	readers []*reader
	reads   int
	words   []word
	worst   time.Duration // longest time that a living reader went without word of a read
}

// A word on its way says when the configuration was read.
type word struct {
	arrives time.Time
	read    time.Time
	to      *reader
}

func (s *turns) hearAll() {
	for _, from := range s.readers {
		for _, to := range s.readers {
			if !from.silent && from != to {
				to.peers.hear(s.now, from.address)
			}
		}
	}
}

// tell spreads the word that a reader has just read; each datagram may be lost.
func (s *turns) tell(from *reader, lost func() bool) {
	const delay = 20 * time.Millisecond
	s.reads++
	from.checked = s.now
	for _, to := range s.readers {
		if to != from && !lost() {
			s.words = append(s.words, word{arrives: s.now.Add(delay), read: s.now, to: to})
		}
	}
}

func (s *turns) deliver() {
	for len(s.words) > 0 && !s.now.Before(s.words[0].arrives) {
		s.words[0].to.checked = s.words[0].read
		s.words = s.words[1:]
	}
}

func (s *turns) run(span time.Duration, lost func() bool) {
	const step = time.Millisecond
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(step) {
		if s.now.UnixMilli()%digestInterval.Milliseconds() == 0 {
			s.hearAll()
		}
		s.deliver()
		for _, r := range s.readers {
			if r.silent {
				continue
			}
			s.worst = max(s.worst, s.now.Sub(r.checked))
			if s.now.Add(r.offset).UnixMilli()%checkTick.Milliseconds() == 0 && r.peers.checkDue(s.now, r.checked) {
				s.tell(r, lost)
			}
		}
	}
}

func never() bool { return false }

func TestOneBalancerReadsTheConfigurationForAll(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(proof.Seed(), 0))
	for _, count := range []int{1, 2, 9, 40} {
		s := &turns{now: time.Unix(0, 0)}
		s.readers = newReaders(s.now, count, random)
		s.hearAll()
		const span = time.Minute
		s.run(span, never)
		g.Expect(s.reads).To(gomega.BeNumerically("<=", int(span/checkInterval)), "%d balancers", count)
		g.Expect(s.worst).To(gomega.BeNumerically("<", inForce), "%d balancers", count)
	}
}

func TestConfigurationIsReadInTimeWhenReadersFallSilentAndWordsAreLost(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(proof.Seed(), 1))
	lost := func() bool { return random.IntN(10) == 0 }
	for silent := range 4 {
		s := &turns{now: time.Unix(0, 0)}
		s.readers = newReaders(s.now, 9, random)
		s.hearAll()
		s.run(10*time.Second, lost)
		for _, r := range s.readers[:silent] {
			r.silent = true
		}
		s.run(20*time.Second, lost)
		g.Expect(s.worst).To(gomega.BeNumerically("<", inForce), "%d silent", silent)
	}
}

func TestOneLivingBalancerActsForAnAgent(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(proof.Seed(), 2))
	s := &turns{now: time.Unix(0, 0)}
	s.readers = newReaders(s.now, 7, random)
	s.hearAll()
	s.readers[0].silent = true
	s.now = s.now.Add(peerSilence)
	s.hearAll()
	for i := range 50 {
		agent := carry.EndpointOf(netip.MustParseAddrPort(fmt.Sprintf("10.1.%d.1:7000", i)))
		acting := 0
		for _, r := range s.readers[1:] {
			if r.peers.first(s.now, agent) {
				acting++
			}
		}
		g.Expect(acting).To(gomega.Equal(1), agent.String())
	}
}
