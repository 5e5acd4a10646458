// Package ring provides a bounded queue for passing items between goroutines.
package ring
