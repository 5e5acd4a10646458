// Package quota limits, without any I/O, work that is done in vain to a share of the work that succeeds.
package quota
