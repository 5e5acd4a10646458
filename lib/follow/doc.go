// Package follow updates a replica of the configuration from another process.
package follow
