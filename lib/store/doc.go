// Package store talks to the platform's object API.
package store
