// Package steer decides which agent receives a caller's datagrams and which balancer carries the answers. It does no
// I/O.
package steer
