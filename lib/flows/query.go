package flows

// Query asks a balancer which of some agents it hears.
type Query struct {
	Agents []Endpoint // at most 16
}

// Heard answers a Query with the agents that its sender hears.
type Heard struct {
	Agents []Endpoint // at most 16
}

// Relay carries a caller's packet to a balancer that can deliver it.
type Relay struct {
	Datagram []byte
}

// Append appends the encoded message.
func (q Query) Append(dst []byte) []byte { return appendList(append(dst, byte(KindQuery)), q.Agents) }

// Decode decodes the message and reports whether it is well-formed.
func (q *Query) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	q.Agents = r.list()
	return !r.failed
}

// Append appends the encoded message.
func (h Heard) Append(dst []byte) []byte { return appendList(append(dst, byte(KindHeard)), h.Agents) }

// Decode decodes the message and reports whether it is well-formed.
func (h *Heard) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	h.Agents = r.list()
	return !r.failed
}

// Append appends the encoded message.
func (p Relay) Append(dst []byte) []byte { return append(append(dst, byte(KindRelay)), p.Datagram...) }

// Decode decodes the message, which Datagram then aliases, and reports whether it is well-formed.
func (p *Relay) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	p.Datagram = r.rest
	return !r.failed && len(p.Datagram) > 0
}
