// Package member registers the address of each process in the platform's store, so that processes find each other.
//
// Only addresses and roles are stored. Processes exchange their liveness and state directly.
package member
