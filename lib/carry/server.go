package carry

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// missedBeats is how many announcements a backend server may miss before it gets no new flows.
const missedBeats = 4

// An Announcement is what a backend server says of itself.
type Announcement struct {
	Born     int64 // start of its process, in Unix milliseconds by its own clock
	ID       string
	Sequence int64 // grows with each announcement of one process
	Service  string
	Slots    int
	State    State         // StateReady or StateDraining
	Warm     time.Duration // how much longer it is slow after its start
}

// A Server is what an agent knows of the backend server beside it.
type Server struct {
	closed   bool // no process listens at its address
	current  Announcement
	heard    time.Time
	interval time.Duration
	service  string
	state    State
	warmAt   time.Time
}

// NewServer returns a server that has not been heard.
func NewServer(service string, interval time.Duration) *Server {
	return &Server{interval: interval, service: service}
}

// Announce takes an announcement and reports whether the state has changed, or returns an Invalid fault for
// another service's and a Stale fault for an earlier process's.
func (s *Server) Announce(now time.Time, a Announcement) (bool, error) {
	switch {
	case a.Service != s.service:
		return false, fault.New(fault.Invalid, "the announcement is of service "+a.Service, "announce "+s.service+" here")
	case a.Born < s.current.Born:
		return false, fault.New(fault.Stale, "the announcement is of an earlier process", "announce the process that runs now")
	case a.Born > s.current.Born:
		return s.take(now, a), nil
	case a.Sequence <= s.current.Sequence:
		return false, nil
	case s.state == StateGone && a.Sequence <= s.current.Sequence+1:
		return false, nil // was sent before the server left
	}
	return s.take(now, a), nil
}

// Leave records that a backend server has ended and reports whether it was the one that runs here.
func (s *Server) Leave(id string) bool {
	if id != s.current.ID || s.state == StateGone {
		return false
	}
	s.state = StateGone
	return true
}

// Overdue reports whether a server has missed an announcement whose port is not known to be closed.
func (s *Server) Overdue(now time.Time) bool {
	return !s.heard.IsZero() && !s.closed && now.Sub(s.heard) > s.interval+s.interval/2
}

// Closed reports whether no process listens at the server's address, so that all its flows have ended. A server that has
// only said that it leaves may still finish some.
func (s *Server) Closed() bool { return s.closed }

// Refused records that the server's port was closed, and reports whether that shows that the server has ended. While its
// last announcement is fresh it does not: the refusal may be of the time before that announcement.
func (s *Server) Refused(now time.Time) bool {
	if s.closed || !s.heard.IsZero() && now.Sub(s.heard) <= s.interval {
		return false
	}
	s.closed = true
	s.state = StateGone
	return true
}

// State returns the state in which new flows find the server.
func (s *Server) State(now time.Time) State {
	if s.state == StateReady && now.Sub(s.heard) > missedBeats*s.interval {
		return StateUnknown
	}
	return s.state
}

// Slots returns how many requests the server runs at once.
func (s *Server) Slots() int { return max(s.current.Slots, 1) }

// Warming reports whether the server is still slow after its start.
func (s *Server) Warming(now time.Time) bool { return now.Before(s.warmAt) }

// Current returns the last announcement that was taken.
func (s *Server) Current() Announcement { return s.current }

func (s *Server) take(now time.Time, a Announcement) bool {
	changed := a.Born != s.current.Born || a.State != s.state
	s.closed = false
	s.current = a
	s.heard = now
	s.state = a.State
	s.warmAt = now.Add(a.Warm)
	return changed
}
