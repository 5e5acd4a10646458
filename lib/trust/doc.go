// Package trust decides from which addresses a process accepts the system's internal messages.
package trust
