// Package wire encodes the datagrams that balancers and agents send to each other.
package wire
