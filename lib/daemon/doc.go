// Package daemon holds what every daemon of the system has: its command line and the parts that a node is made of.
package daemon
