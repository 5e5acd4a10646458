// Package tuple is the shell of a balancer that carries flows which only a 4-tuple identifies.
package tuple
