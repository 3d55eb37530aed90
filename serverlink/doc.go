// Package serverlink tracks the state of the network link between this VM and each
// backend server that it owns. It decides whether an exchange goes to the server
// directly or through another VM, the exchange relay.
//
// A direct attempt that cannot connect or gets no response may have failed because
// of the link or because of the server. Such a failure is deferred: it does not
// count against the server until an exchange over a relay shows the cause. If the
// relay gets a response, the link is bad and exchanges stay on the relay. If the
// relay fails too, the server is at fault and the deferred failures are counted.
// A refused connection, an error response or an incomplete response comes from the
// server's side, so the link works.
//
// The functions take the time as an argument and send nothing themselves. A record
// exists only for a server whose link failed recently. The records are sharded by
// server.
package serverlink
