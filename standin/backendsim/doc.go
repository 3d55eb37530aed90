// Package backendsim simulates backend servers for tests, the demo and the
// bench. A Host runs any number of servers in one process, each on its own port
// of the loopback interface.
//
// A server has slots, a cold start, draining, cancellation and a connection
// limit. Its Mode can inject gray failures, which its health endpoint does not
// report. The server writes the bytes of its HTTP responses itself instead of
// using net/http, so that it can send invalid responses. The host records every
// request that starts to execute as an Execution. Tests compare these records
// with what the callers observed.
package backendsim
