// Package ticket issues idempotency tickets and stores the outcome of each ticket's request.
package ticket
