// Package flows decides, without any I/O, where to send packets of flows that are identified only by their 4-tuple.
//
// A Director decides for a balancer and a Dispatcher for an agent. The backend server is authoritative for the flows
// that it holds: a packet that it bounces is forwarded to the next agent. The state of that search travels with the
// packet, so that a flow reaches its backend server even when no table of flows is complete.
package flows
