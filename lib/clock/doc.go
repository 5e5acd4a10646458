// Package clock provides one timer for all periodic work of a daemon.
package clock
