// Package stage runs a whole deployment as processes on loopback, for the demo and the failure tests.
package stage
