// Package entry is the entry VM's part of serving a request. It authorizes the
// request, takes a token of the caller's team, selects a backend server, sends
// the request to the VM that owns the server and decides whether a failed attempt
// is retried.
//
// The package does not depend on HTTP. Package httpfront translates callers' HTTP
// requests into IncomingRequest values and results into responses. Another front
// end can use the package in the same way.
package entry
