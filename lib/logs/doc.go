// Package logs writes short structured sentences, each with the prefix of the part that speaks.
package logs
