// Package member keeps the address of each process in the platform's store, so that processes find each other.
//
// Only addresses are kept there. Whether a process lives, and in which state, it tells the others itself.
package member
