// Package opers implements the operators' commands, one file per command.
package opers
