// Package object is a stand-in for the platform's object API with fault injection.
package object
