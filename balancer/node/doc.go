// Package node runs a balancer: its sockets, membership, configuration and forwarding.
package node
