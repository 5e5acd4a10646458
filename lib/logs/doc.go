// Package logs writes structured log lines, each prefixed with the name of the program or part that wrote it.
package logs
