// Package server stands in for a backend server that heats up, sheds, lies and dies.
package server
