// Package admit decides which requests an agent sends to its backend server and when, without any I/O.
package admit
