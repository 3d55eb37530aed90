// Package owner runs requests at the backend servers that this VM owns. For
// each request it checks that this VM still owns the server, waits for one of
// the server's concurrency slots, sends the request to the server and records
// the result as a sample of the server's health.
//
// Each server has one owner VM, and all requests to the server go through that
// VM. The limits enforced here therefore hold for the whole fleet.
//
// If the link between the owner and a server fails, the owner sends the request
// through another VM, the exchange relay. Package serverlink decides when.
package owner
