// Package tuple runs a balancer for flows that are identified only by their 4-tuple: sockets, timers, RPC and store.
package tuple
