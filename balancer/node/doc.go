// Package node assembles a balancer from its parts.
package node
