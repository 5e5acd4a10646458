// Package stats serves the metrics and the health of a process over HTTP.
package stats
