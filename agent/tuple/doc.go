// Package tuple runs the sockets and timers of an agent whose flows are identified by their 4-tuple alone.
package tuple
