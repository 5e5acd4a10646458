// Package fifo tracks, without any I/O, which requests a server is working on when it serves them in order of arrival.
package fifo
