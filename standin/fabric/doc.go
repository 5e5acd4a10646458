// Package fabric stands in for a network that hands any packet to any entry host.
package fabric
