// Package local runs a complete deployment as local processes on loopback, for the demo, benchmarks and failure tests.
package local
