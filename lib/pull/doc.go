// Package pull updates a replica of the configuration from another process.
package pull
