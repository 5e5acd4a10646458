// Package port holds what the shells of balancers and agents share when they carry flows without an ID.
package port
