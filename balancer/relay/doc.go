// Package relay forwards datagrams between callers and agents.
package relay
