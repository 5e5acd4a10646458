// Package drain decides how an agent or balancer leaves without cutting work, without any I/O.
package drain
