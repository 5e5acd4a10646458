// Package peer carries the calls between the system's processes over net/rpc.
package peer
