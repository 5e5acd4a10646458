// Package tuple plays the users' platform for the carriage of flows that only a 4-tuple identifies: the object store,
// backend servers and callers.
package tuple
