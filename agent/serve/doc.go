// Package serve admits callers' requests and carries them to the backend server.
package serve
