// Package direct sends requests from the VM that received them directly to
// backend servers. The servers enforce their own slots and report when they did
// not execute a request.
//
// No VM owns a server or a team here. Each VM keeps its own replica of the state
// that the fleet shares: rate limits of teams, retry budgets, slow starts and
// statistics of servers. It updates the replica from its own requests and from the
// counters that the other VMs send (package tally). Missing messages never stop a
// request.
//
// The package depends on neither HTTP nor a platform's names.
package direct
