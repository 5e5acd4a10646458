// Package tuple is a test harness for forwarding flows that only a 4-tuple identifies: it runs the balancers and agents
// against a simulated object store, backend servers, routers and callers, with fault injection.
package tuple
