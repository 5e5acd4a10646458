package flows

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// maxMissedAnnouncements is how many announcements a backend server may miss before it gets no new flows.
const maxMissedAnnouncements = 4

// Announcement is a backend server's description of itself, sent periodically to its agent.
type Announcement struct {
	ID          string // ID of the backend server's process
	Sequence    int64  // increases with each announcement of a process
	Service     string
	Slots       int           // requests that the backend server can run at once
	StartMillis int64         // start of the backend server's process, in Unix milliseconds of its own clock
	State       State         // StateReady or StateDraining
	WarmupLeft  time.Duration // remaining time for which the backend server is slow after its start
}

// Server tracks the state of the backend server beside an agent.
type Server struct {
	closed        bool // no process listens at its address
	current       Announcement
	interval      time.Duration // expected interval of announcements
	lastAnnounced time.Time     // zero before the first announcement
	service       string
	state         State
	warmUntil     time.Time
}

// NewServer returns a server that has not announced itself yet.
func NewServer(service string, interval time.Duration) *Server {
	return &Server{interval: interval, service: service}
}

// Announce records an announcement and reports whether the process or its state has changed; it returns an Invalid fault
// for another service and a Stale fault for an earlier process.
func (s *Server) Announce(now time.Time, a Announcement) (bool, error) {
	switch {
	case a.Service != s.service:
		return false, fault.New(fault.Invalid, "the announcement is of service "+a.Service, "announce "+s.service+" here")
	case a.StartMillis < s.current.StartMillis:
		return false, fault.New(fault.Stale, "the announcement is of an earlier process", "announce the process that runs now")
	case a.StartMillis > s.current.StartMillis:
		return s.accept(now, a), nil
	case a.Sequence <= s.current.Sequence:
		return false, nil
	case s.state == StateGone && a.Sequence <= s.current.Sequence+1:
		return false, nil // it may have been sent before the server left
	}
	return s.accept(now, a), nil
}

// RecordLeave records that the backend server with the given ID has ended, and reports whether it was the current one.
func (s *Server) RecordLeave(id string) bool {
	if id != s.current.ID || s.state == StateGone {
		return false
	}
	s.state = StateGone
	return true
}

// Overdue reports whether an announcement is overdue while the server's port is not known to be closed.
func (s *Server) Overdue(now time.Time) bool {
	return !s.lastAnnounced.IsZero() && !s.closed && now.Sub(s.lastAnnounced) > s.interval+s.interval/2
}

// Closed reports whether no process listens at the server's address, so that all its flows have ended. After
// RecordLeave alone the server may still finish flows.
func (s *Server) Closed() bool { return s.closed }

// RecordRefused records that the server's port was closed, and reports whether the server has therefore ended. A
// refusal within an interval of the last announcement is ignored, since it may date from before that announcement.
func (s *Server) RecordRefused(now time.Time) bool {
	if s.closed || !s.lastAnnounced.IsZero() && now.Sub(s.lastAnnounced) <= s.interval {
		return false
	}
	s.closed = true
	s.state = StateGone
	return true
}

// State returns the server's state, which is StateUnknown instead of StateReady when too many announcements are missing.
func (s *Server) State(now time.Time) State {
	if s.state == StateReady && now.Sub(s.lastAnnounced) > maxMissedAnnouncements*s.interval {
		return StateUnknown
	}
	return s.state
}

// Slots returns how many requests the server can run at once, at least one.
func (s *Server) Slots() int { return max(s.current.Slots, 1) }

// Warming reports whether the server is still slow after its start.
func (s *Server) Warming(now time.Time) bool { return now.Before(s.warmUntil) }

// Current returns the last accepted announcement.
func (s *Server) Current() Announcement { return s.current }

// accept records an announcement and reports whether the process or its state has changed.
func (s *Server) accept(now time.Time, a Announcement) bool {
	changed := a.StartMillis != s.current.StartMillis || a.State != s.state
	s.closed = false
	s.current = a
	s.lastAnnounced = now
	s.state = a.State
	s.warmUntil = now.Add(a.WarmupLeft)
	return changed
}
