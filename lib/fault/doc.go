// Package fault defines the typed errors of the system, each of which names its remedy.
package fault
