// Package peer provides the RPC client and server with which the processes call each other, over net/rpc.
package peer
