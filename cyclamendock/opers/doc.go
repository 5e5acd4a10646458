// Package opers holds the operators' commands, one file for each.
package opers
