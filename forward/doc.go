// Package forward sends callers' requests from the entry VM to the VM that owns
// the backend server, over HTTP/1.1 between VMs. If the entry VM cannot reach the
// owner, it sends the request to another VM, which relays it to the owner once.
//
// Requests do not use the jsonrpc2 links between VMs. A body inside JSON would
// be copied and encoded once more on each side of the hop, and almondstile
// bounds the latency that it adds to a request. Each message carries a MAC over
// its envelope and body.
//
// A second kind of message, the exchange, is sent by the owner of a backend
// server whose own connection to the server fails. It asks another VM, the
// exchange relay, to send one request to the server and to return the response.
// The MAC covers the kind of the message, so a message of one kind cannot be
// replayed as the other.
package forward
