// Package header parses the part of QUIC packet headers that a balancer needs.
package header
