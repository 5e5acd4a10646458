// Package netio provides datagram input and output, retries and the handling of ignored input for balancers and agents
// whose flows are identified by their 4-tuple alone.
package netio
