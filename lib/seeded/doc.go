// Package seeded runs property tests with a fixed seed, so that their results are reproducible.
package seeded
