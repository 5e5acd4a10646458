// Package steer decides which agent receives a caller's datagrams and through which balancer an
// agent sends its datagrams to a caller. It does no I/O.
package steer
