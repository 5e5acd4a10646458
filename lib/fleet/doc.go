// Package fleet implements cluster membership without any I/O: leases, failure detection and replicated records.
package fleet
