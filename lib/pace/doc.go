// Package pace decides, without any I/O, how many new flows a backend server that starts or recovers is given, and enforces the limits
// of its service.
package pace
