// Package fleet decides who is a member, who keeps whose lease and what each replica knows, without any I/O.
package fleet
