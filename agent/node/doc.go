// Package node runs an agent that terminates QUIC flows.
package node
