// Package fabric is a stand-in for a network that forwards each packet to any of the balancers.
package fabric
