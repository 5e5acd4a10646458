// Package daemon provides the command line of the daemons and the components that every node uses.
package daemon
