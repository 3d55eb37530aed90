// Package forward carries callers' requests from the entry VM to the VM that
// owns the backend server, over HTTP/1.1 between VMs.
//
// Requests do not use the jsonrpc2 links, because a body inside JSON would be
// copied and encoded once more on each side of the hop, and the added latency
// is bounded. Each message carries a MAC over its envelope and body.
//
// A second kind of message, the exchange, asks a VM to run one exchange with a
// backend server for the server's owner, whose own link to it is bad. The MAC
// covers the kind, so neither can be presented as the other.
package forward
