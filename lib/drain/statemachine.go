package drain

import "time"

// Cause is a reason to drain; several causes form a bit set.
type Cause uint8

const (
	// CauseBackendServer means that the backend server reports that it is draining.
	CauseBackendServer Cause = 1 << iota
	// CauseOperator means that the configuration contains a drain.
	CauseOperator
	// CauseSignal means that the process received SIGTERM; this cause cannot be removed.
	CauseSignal
)

// String returns the names of the causes, joined by plus signs.
func (c Cause) String() string {
	names := []struct {
		cause Cause
		name  string
	}{{CauseBackendServer, "backendServer"}, {CauseOperator, "operator"}, {CauseSignal, "signal"}}
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

// Action is what the agent that uses a StateMachine must do.
type Action int

const (
	// Announce tells the callers of open flows to start no further requests on them.
	Announce Action = iota + 1
	// CloseFlows closes the flows that are still open when the flow timeout has passed.
	CloseFlows
	// Exit ends the process.
	Exit
	// Resume accepts new flows again.
	Resume
)

// Config holds the time limits of a StateMachine.
type Config struct {
	FlowTimeout time.Duration // time from the start of the drain until open flows are closed, zero for never
	Linger      time.Duration // time that a stopping process waits for late packets after its last flow
}

// StateMachine is the state machine of an agent's drains.
type StateMachine struct {
	causes       Cause
	config       Config
	drainStart   time.Time // time of the first of the active causes
	emptySince   time.Time // time since which no flow is open, zero while flows are open
	exitReturned bool      // Tick has returned Exit
	flowsClosed  bool      // Tick has returned CloseFlows during this drain
	openFlows    int
}

// NewStateMachine returns a state machine that is not draining.
func NewStateMachine(config Config) *StateMachine { return &StateMachine{config: config} }

// Draining reports whether new flows must be rejected.
func (m *StateMachine) Draining() bool { return m.causes != 0 }

// Causes returns the set of active causes.
func (m *StateMachine) Causes() Cause { return m.causes }

// Begin adds a cause and returns Announce when it is the first one.
func (m *StateMachine) Begin(now time.Time, cause Cause) []Action {
	before := m.causes
	m.causes |= cause
	if before != 0 {
		return nil
	}
	m.drainStart = now
	m.flowsClosed = false
	m.emptySince = time.Time{}
	return []Action{Announce}
}

// End removes a cause other than CauseSignal and returns Resume when it was the last one.
func (m *StateMachine) End(cause Cause) []Action {
	before := m.causes
	m.causes &^= cause &^ CauseSignal
	if before != 0 && m.causes == 0 {
		return []Action{Resume}
	}
	return nil
}

// SetFlows records the number of open flows.
func (m *StateMachine) SetFlows(now time.Time, flows int) {
	if flows > 0 {
		m.emptySince = time.Time{}
	} else if m.emptySince.IsZero() {
		m.emptySince = now
	}
	m.openFlows = flows
}

// Tick returns the actions that are due.
func (m *StateMachine) Tick(now time.Time) []Action {
	if m.causes == 0 {
		return nil
	}
	var actions []Action
	if m.flowTimeoutReached(now) {
		m.flowsClosed = true
		actions = append(actions, CloseFlows)
	}
	if m.exitDue(now) {
		m.exitReturned = true
		actions = append(actions, Exit)
	}
	return actions
}

func (m *StateMachine) flowTimeoutReached(now time.Time) bool {
	if m.flowsClosed || m.config.FlowTimeout == 0 || m.openFlows == 0 {
		return false
	}
	return now.Sub(m.drainStart) >= m.config.FlowTimeout
}

func (m *StateMachine) exitDue(now time.Time) bool {
	if m.exitReturned || m.causes&CauseSignal == 0 || m.openFlows > 0 || m.emptySince.IsZero() {
		return false
	}
	return now.Sub(m.emptySince) >= m.config.Linger
}
