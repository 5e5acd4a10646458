// Package retry implements a retry budget, which limits retries to a percentage of the requests.
package retry
