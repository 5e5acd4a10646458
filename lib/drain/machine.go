package drain

import "time"

// A Cause is a reason to drain.
type Cause uint8

const (
	// CauseBackend is the backend server's own word.
	CauseBackend Cause = 1 << iota
	// CauseOperator is a drain in the configuration.
	CauseOperator
	// CauseSignal is SIGTERM, which can't be taken back.
	CauseSignal
)

// String returns the causes' names, joined by a plus sign.
func (c Cause) String() string {
	names := []struct {
		cause Cause
		name  string
	}{{CauseBackend, "backendServer"}, {CauseOperator, "operator"}, {CauseSignal, "signal"}}
	text := ""
	for _, n := range names {
		if c&n.cause == 0 {
			continue
		}
		if text != "" {
			text += "+"
		}
		text += n.name
	}
	return text
}

// An Action is what the owner of a Machine must do.
type Action int

const (
	// Announce tells open flows that no more requests should start on them.
	Announce Action = iota + 1
	// Cut closes the flows that are still open at the drain's limit.
	Cut
	// Exit ends the process.
	Exit
	// Resume takes new flows again.
	Resume
)

// A Config holds the limits of a Machine.
type Config struct {
	FlowLimit time.Duration // zero means that open flows are never cut
	Linger    time.Duration // how long a stopping process stays for late packets after its last flow
}

// A Machine is the state of one drain.
type Machine struct {
	causes  Cause
	config  Config
	cut     bool
	emptied time.Time
	exited  bool
	flows   int
	since   time.Time
}

// NewMachine returns a machine that does not drain.
func NewMachine(config Config) *Machine { return &Machine{config: config} }

// Draining reports whether new flows must be turned away.
func (m *Machine) Draining() bool { return m.causes != 0 }

// Causes returns every cause in force.
func (m *Machine) Causes() Cause { return m.causes }

// Begin adds a cause; a cause already in force changes nothing.
func (m *Machine) Begin(now time.Time, cause Cause) []Action {
	before := m.causes
	m.causes |= cause
	if before != 0 {
		return nil
	}
	m.since = now
	m.cut = false
	m.emptied = time.Time{}
	return []Action{Announce}
}

// End removes a cause other than CauseSignal and resumes when none is left.
func (m *Machine) End(cause Cause) []Action {
	before := m.causes
	m.causes &^= cause &^ CauseSignal
	if before != 0 && m.causes == 0 {
		return []Action{Resume}
	}
	return nil
}

// SetFlows records how many flows are open.
func (m *Machine) SetFlows(now time.Time, flows int) {
	if flows > 0 {
		m.emptied = time.Time{}
	} else if m.emptied.IsZero() {
		m.emptied = now
	}
	m.flows = flows
}

// Tick returns the actions that have fallen due.
func (m *Machine) Tick(now time.Time) []Action {
	if m.causes == 0 {
		return nil
	}
	var actions []Action
	if m.flowLimitReached(now) {
		m.cut = true
		actions = append(actions, Cut)
	}
	if m.mayExit(now) {
		m.exited = true
		actions = append(actions, Exit)
	}
	return actions
}

func (m *Machine) flowLimitReached(now time.Time) bool {
	if m.cut || m.config.FlowLimit == 0 || m.flows == 0 {
		return false
	}
	return now.Sub(m.since) >= m.config.FlowLimit
}

func (m *Machine) mayExit(now time.Time) bool {
	if m.exited || m.causes&CauseSignal == 0 || m.flows > 0 || m.emptied.IsZero() {
		return false
	}
	return now.Sub(m.emptied) >= m.config.Linger
}
