// Package carry decides, without any I/O, where packets of flows go that only a 4-tuple identifies.
//
// A Director decides for a balancer and a Carrier for an agent. The backend server is the truth about which
// flows it holds: a packet that it returns is offered to the next agent, and the position of that search
// travels with the packet, so that no table needs to be complete for a flow to reach its backend server.
package carry
