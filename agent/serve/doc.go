// Package serve admits callers' requests and forwards them to the backend server.
package serve
