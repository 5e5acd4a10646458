// Package tuple is the shell of an agent that carries flows which only a 4-tuple identifies.
package tuple
