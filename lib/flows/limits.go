package flows

import (
	"encoding/binary"
	"time"
)

const (
	// limitsInterval is the shortest time between two messages with limits to an agent that does not know them.
	limitsInterval = time.Second
	// limitsBatch is how many messages with limits are sent at once. When the limits of a large service change, it takes some ticks.
	limitsBatch = 100
	// maxFlowLimit bounds the limit of flows in a message.
	maxFlowLimit = 1 << 30
	thousandths  = 1000 // per unit
)

// ServiceLimits holds the limits of each backend server of a service.
type ServiceLimits struct {
	ColdFor       time.Duration // time for which a backend server that starts during traffic is cold
	ColdPerSecond float64       // requests per second that a cold backend server can handle; zero when there is no limit
	MaxFlows      int           // zero when there is no limit
}

// Limits tells an agent the limits of its service.
type Limits struct {
	ColdPerSecond float64 // as in ServiceLimits, in steps of a thousandth
	MaxFlows      int     // as in ServiceLimits
	Version       uint64  // version of the configuration
}

// Append appends the encoded message.
func (l Limits) Append(dst []byte) []byte {
	dst = binary.AppendUvarint(append(dst, byte(KindLimits)), l.Version)
	dst = binary.AppendUvarint(dst, uint64(l.MaxFlows))
	return binary.AppendUvarint(dst, uint64(l.ColdPerSecond*thousandths+0.5))
}

// Decode decodes the message and reports whether it is well-formed.
func (l *Limits) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	l.Version = r.uvarint()
	maxFlows := r.uvarint()
	l.MaxFlows = int(min(maxFlows, maxFlowLimit))
	l.ColdPerSecond = float64(r.uvarint()) / thousandths
	return !r.failed && maxFlows <= maxFlowLimit
}

// LimitsMessage is a message with limits to one agent.
type LimitsMessage struct {
	Agent  Endpoint
	Limits Limits
}

// requestLimits records that an agent which has reported does not know the limits of its service.
func (a *Agents) requestLimits(now time.Time, agent *agentState) {
	if now.Sub(agent.lastLimits) >= limitsInterval && !agent.limitsDue {
		agent.limitsDue = true
		a.limitsDue = append(a.limitsDue, agent.address)
	}
}

// changeLimits records that the limits of a service have changed, of which each of its agents is told once.
func (a *Agents) changeLimits(service NameHash) {
	for _, agent := range a.byService[service] {
		if !agent.limitsDue {
			agent.limitsDue = true
			a.limitsDue = append(a.limitsDue, agent.address)
		}
	}
}

// changeLimits records which services have other limits in newer routes.
func (d *Director) changeLimits(routes Routes) {
	if d.routes.Version == 0 {
		return
	}
	for service, limits := range routes.Limits {
		if d.routes.Limits[service] != limits {
			d.Agents.changeLimits(service)
		}
	}
	for service := range d.routes.Limits {
		if _, kept := routes.Limits[service]; !kept {
			d.Agents.changeLimits(service)
		}
	}
}

// TakeLimits returns some of the messages with limits that are due to agents. It must be called regularly.
func (d *Director) TakeLimits(now time.Time) []LimitsMessage {
	if d.routes.Version == 0 {
		return nil
	}
	var messages []LimitsMessage
	batch := d.Agents.limitsDue[:min(limitsBatch, len(d.Agents.limitsDue))]
	d.Agents.limitsDue = d.Agents.limitsDue[len(batch):]
	for _, address := range batch {
		agent := d.Agents.byAddress[address]
		if agent == nil || !agent.limitsDue {
			continue
		}
		agent.limitsDue = false
		agent.lastLimits = now
		limits := d.routes.Limits[agent.report.Service]
		messages = append(messages, LimitsMessage{Agent: address, Limits: Limits{
			ColdPerSecond: limits.ColdPerSecond,
			MaxFlows:      limits.MaxFlows,
			Version:       d.routes.Version,
		}})
	}
	return messages
}
