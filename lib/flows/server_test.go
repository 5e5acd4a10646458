package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

func announcement(startMillis, sequence int64, state State) Announcement {
	return Announcement{ID: "i-1", Sequence: sequence, Service: testService, Slots: 7, StartMillis: startMillis, State: state}
}

func TestOldAnnouncementsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewServer(testService, time.Second)
	changed, err := s.Announce(now, announcement(5, 3, StateReady))
	g.Expect(changed, err).To(gomega.BeTrue())
	changed, err = s.Announce(now, announcement(5, 4, StateDraining))
	g.Expect(changed, err).To(gomega.BeTrue())
	changed, err = s.Announce(now, announcement(5, 2, StateReady))
	g.Expect(changed, err).To(gomega.BeFalse())
	g.Expect(s.State(now)).To(gomega.Equal(StateDraining))
	_, err = s.Announce(now, announcement(4, 9, StateReady))
	g.Expect(fault.Is(err, fault.Stale)).To(gomega.BeTrue())
	g.Expect(s.State(now)).To(gomega.Equal(StateDraining))
}

func TestAnnouncementOfNewProcessReplacesEarlierOne(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewServer(testService, time.Second)
	_, _ = s.Announce(now, announcement(5, 30, StateDraining))
	changed, err := s.Announce(now, announcement(6, 1, StateReady))
	g.Expect(changed, err).To(gomega.BeTrue())
	g.Expect(s.State(now)).To(gomega.Equal(StateReady))
}

func TestAnnouncementOfAnotherServiceIsInvalid(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewServer("nachweise", time.Second)
	_, err := s.Announce(time.Unix(0, 0), announcement(5, 1, StateReady))
	g.Expect(fault.Is(err, fault.Invalid)).To(gomega.BeTrue())
	g.Expect(s.State(time.Unix(0, 0))).To(gomega.Equal(StateUnknown))
}

func TestLateAnnouncementDoesNotReviveServerThatLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewServer(testService, time.Second)
	_, _ = s.Announce(now, announcement(5, 3, StateDraining))
	g.Expect(s.RecordLeave("another")).To(gomega.BeFalse())
	g.Expect(s.RecordLeave("i-1")).To(gomega.BeTrue())
	_, _ = s.Announce(now, announcement(5, 4, StateReady)) // sent before it left
	g.Expect(s.State(now)).To(gomega.Equal(StateGone))
	_, _ = s.Announce(now, announcement(6, 1, StateReady))
	g.Expect(s.State(now)).To(gomega.Equal(StateReady))
}

func TestStateIsUnknownAfterMissedAnnouncements(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewServer(testService, time.Second)
	_, _ = s.Announce(now, announcement(5, 3, StateReady))
	g.Expect(s.State(now.Add(maxMissedAnnouncements * time.Second))).To(gomega.Equal(StateReady))
	g.Expect(s.State(now.Add(maxMissedAnnouncements*time.Second + 1))).To(gomega.Equal(StateUnknown))
}

func TestClosedPortEndsServerWithoutFreshAnnouncement(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewServer(testService, time.Second)
	_, _ = s.Announce(now, announcement(5, 3, StateReady))
	g.Expect(s.RecordRefused(now.Add(time.Second))).To(gomega.BeFalse(), "the refusal may date from before the announcement")
	g.Expect(s.State(now.Add(time.Second))).To(gomega.Equal(StateReady))
	now = now.Add(time.Second + 1)
	g.Expect(s.RecordRefused(now)).To(gomega.BeTrue())
	g.Expect(s.State(now)).To(gomega.Equal(StateGone))
	g.Expect(s.RecordRefused(now)).To(gomega.BeFalse(), "the end is reported once")
	_, _ = s.Announce(now, announcement(6, 1, StateReady))
	g.Expect(s.State(now)).To(gomega.Equal(StateReady))
}

func TestClosedPortEndsServerThatNeverAnnounced(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewServer(testService, time.Second)
	g.Expect(s.RecordRefused(now)).To(gomega.BeTrue())
	g.Expect(s.State(now)).To(gomega.Equal(StateGone))
	_, _ = s.Announce(now, announcement(5, 1, StateReady))
	g.Expect(s.State(now)).To(gomega.Equal(StateReady))
}

func TestOverdueAfterOneAndAHalfIntervals(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewServer(testService, time.Second)
	g.Expect(s.Overdue(now)).To(gomega.BeFalse(), "no announcement yet")
	_, _ = s.Announce(now, announcement(5, 3, StateReady))
	g.Expect(s.Overdue(now.Add(1500 * time.Millisecond))).To(gomega.BeFalse())
	g.Expect(s.Overdue(now.Add(1501 * time.Millisecond))).To(gomega.BeTrue())
	s.RecordLeave("i-1")
	g.Expect(s.Closed()).To(gomega.BeFalse(), "the server may still finish flows")
	g.Expect(s.Overdue(now.Add(time.Hour))).To(gomega.BeTrue())
	g.Expect(s.RecordRefused(now.Add(time.Hour))).To(gomega.BeTrue())
	g.Expect(s.Closed()).To(gomega.BeTrue())
	g.Expect(s.Overdue(now.Add(time.Hour))).To(gomega.BeFalse(), "the server has ended")
}
