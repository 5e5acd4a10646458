// Package setup loads the JSON settings of a program and refuses what it does not understand.
package setup
