// Package model simulates placement, admission and forwarding policies in virtual time, with the production code that
// makes the decisions.
package model
