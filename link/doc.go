// Package link models the link between two VMs: what this VM last heard from
// the other, whether calls to it succeed, and the authenticated jsonrpc2
// connection that carries control messages.
//
// Links fail one way at a time, so what this VM hears from a peer and what it
// can send to that peer are recorded separately.
package link
