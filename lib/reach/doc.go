// Package reach decides, without any I/O, when a process that one observer doesn't hear counts as unheard by all observers.
package reach
