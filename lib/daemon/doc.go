// Package daemon is the command line that every daemon of the system has.
package daemon
