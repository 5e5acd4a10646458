// Package server is a stand-in for a backend server with fault injection: slowdown, load shedding, wrong health and load
// reports, and cut connections.
package server
