// Package flaky injects the faults of the platform into a store, for tests.
package flaky
