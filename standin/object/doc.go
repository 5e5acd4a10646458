// Package object stands in for the platform's object API.
package object
