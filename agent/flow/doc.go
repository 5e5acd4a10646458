// Package flow owns the QUIC flows of an agent and the datagrams that belong to them.
package flow
