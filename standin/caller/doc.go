// Package caller simulates callers who open feeds, make bookings and fetch documents, and verifies the results.
package caller
