// Package setup loads and validates the JSON settings of a program; unknown keys are errors.
package setup
