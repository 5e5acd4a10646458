// Package connid encrypts the address of a flow's agent into the flow's QUIC connection IDs.
package connid
