// Package inbound holds the connections that this VM accepts: those of callers, of
// other VMs and of the load balancer.
//
// The HTTP library's server parses requests and writes responses on these connections.
// It does not know what a connection does beside that, so a Conn adds:
//
//   - It knows whether it has carried a request, so that a shutdown can close the
//     connections that have not.
//
// A Listener keeps track of its connections.
package inbound
