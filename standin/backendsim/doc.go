// Package backendsim is a stand-in for backend servers in tests, the demo and
// the bench. A Host runs any number of servers in one process, each on its own
// port of the loopback interface.
//
// A server has slots, a cold start, drain, cancellation and a connection limit,
// and it can be made to fail in the ways that its health endpoint does not
// show. It writes responses byte by byte itself, so that it can send wrong ones.
// Every request that starts to run is recorded as an Execution, which is what
// tests compare the callers' view with.
package backendsim
