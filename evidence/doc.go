// Package evidence holds what all VMs saw of each backend server: how many of
// its recent requests failed, how many run now, how long they take and how many
// were sent in the last second. Every VM keeps the same record from its own
// requests and from the counters that it hears of, so that a server that fails
// quietly is known to the whole fleet after a few requests.
package evidence
