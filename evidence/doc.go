// Package evidence keeps statistics of the backend servers and routes: how many
// recent requests failed, how many are in flight, how long they take and how many
// were sent in the last second.
//
// Every VM updates its statistics from its own requests and from the counters that
// it receives from the other VMs. The whole fleet therefore detects a server that
// fails some of its requests after a few of them.
package evidence
