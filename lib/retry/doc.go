// Package retry limits retries to a share of the requests they follow.
package retry
