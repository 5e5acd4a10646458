// Package trace exports a span for each hop of a flow or request.
package trace
