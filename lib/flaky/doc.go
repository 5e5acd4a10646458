// Package flaky wraps a store with the faults of the platform, for tests.
package flaky
