// Package node assembles an agent from its parts.
package node
