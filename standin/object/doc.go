// Package object is a stand-in of the platform's object API with fault injection.
package object
