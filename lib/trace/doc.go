// Package trace exports a span for each process and step that a flow or request passes through.
package trace
