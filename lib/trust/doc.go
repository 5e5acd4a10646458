// Package trust decides from which addresses a process takes messages of the system.
package trust
