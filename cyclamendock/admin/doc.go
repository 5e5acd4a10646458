// Package admin implements the operators' commands, one file per command.
package admin
