// Package ring provides the bounded queues that join the goroutines of a daemon.
package ring
