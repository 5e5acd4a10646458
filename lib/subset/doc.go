// Package subset picks, without any I/O, the part of a service's backends that one balancer places new work on.
package subset
