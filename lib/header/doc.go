// Package header reads the version-independent part of QUIC packet headers.
package header
