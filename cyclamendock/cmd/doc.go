// Package cmd holds the operators' commands, one file for each.
package cmd
