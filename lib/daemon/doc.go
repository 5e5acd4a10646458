// Package daemon provides the command line of the daemons and the components that they have in common.
package daemon
