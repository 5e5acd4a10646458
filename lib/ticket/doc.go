// Package ticket issues idempotency tickets and remembers what became of each.
package ticket
