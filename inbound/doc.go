// Package inbound holds the connections that this VM accepts: those of callers, of
// other VMs and of the load balancer.
//
// The HTTP library's server parses requests and writes responses on these connections.
// It does not know what a connection does beside that, so a Conn adds:
//
//   - While a request is served, it reads ahead, so that the end of the stream is seen
//     also behind pipelined requests. A peer that has closed its sending side counts as
//     gone: its request is canceled and what it sent behind it is dropped.
//
//   - When the server closes it after a response, it first shuts down its sending side
//     and drops what the peer still sends. Closing a socket with unread bytes would reset
//     it, and the peer would lose the end of the response.
//
//   - It knows whether it has carried a request, so that a shutdown can close the
//     connections that have not.
//
//   - It bounds the time that it waits for the head of a request, and without a request.
//
//   - It has a lease of the process's budget of bytes. If the lease is turned away, the
//     connection wakes the server, whose request then fails.
//
// A Listener keeps track of its connections, and goes on accepting after a shortage of
// descriptors. It bounds the number of its connections: if there are too many, it closes those
// without a request and those whose request does not get on.
package inbound
