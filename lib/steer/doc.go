// Package steer decides which agent receives each datagram, without any I/O.
package steer
