// Package forward carries callers' requests from the entry VM to the VM that
// owns the backend server, over HTTP/1.1 between VMs.
//
// Requests do not use the jsonrpc2 links, because a body inside JSON would be
// copied and encoded once more on each side of the hop, and the added latency
// is bounded. Each message carries a MAC over its envelope and body.
package forward
