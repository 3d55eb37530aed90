// Package link models the link between two VMs: when this VM last received a
// message from the other, whether calls to it succeed, and the authenticated
// jsonrpc2 connection that carries control messages.
//
// A link can fail in one direction only. Messages received from a peer and
// replies to messages sent to it are therefore recorded separately.
package link
