// Package store provides access to the platform's versioned object store.
package store
