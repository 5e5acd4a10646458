// Package admit implements the admission control of an agent: it decides which requests are sent to the backend
// server and when, and estimates the load. It does no I/O.
package admit
