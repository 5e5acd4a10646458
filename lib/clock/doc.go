// Package clock provides the timer service that the parts of a daemon subscribe to.
package clock
