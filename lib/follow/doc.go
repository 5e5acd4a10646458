// Package follow brings a replica of the configuration up to date from another process.
package follow
