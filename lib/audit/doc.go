// Package audit finds errors, entries without effect and contradictions in a configuration before it is sent, and what it
// would change in the version in force.
package audit
