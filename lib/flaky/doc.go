// Package flaky injects the platform's faults into the calls of a store, for tests.
package flaky
