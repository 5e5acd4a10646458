// Package zones decides which availability zones are evacuated, from complete lists of the operator's entries and what other
// processes state.
package zones
