// Package flow terminates the QUIC flows of an agent and exchanges their datagrams with balancers and other agents.
package flow
