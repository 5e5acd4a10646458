// Package fault defines the system's error type, which has a kind and tells the reader what to do.
package fault
