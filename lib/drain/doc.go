// Package drain implements the state machine of a graceful drain. It does no I/O.
package drain
