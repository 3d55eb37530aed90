// Package direct takes requests from the entry VM straight to backend servers
// that enforce their own slots and say when they did not run a request. No VM
// owns a server or a team here: what the fleet has to keep together (rates of
// teams, retry budgets, slow starts, evidence on servers) each VM keeps from its
// own requests and from the counters that the others send (package tally), and
// missing messages never stop a request.
//
// The package knows no HTTP and no names of the platform.
package direct
