// Package fabric is a stand-in of a network that forwards each packet to any of the balancers.
package fabric
