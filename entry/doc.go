// Package entry is the entry VM's side of a request: it authorizes the request,
// takes a token of its team, selects a backend server, hands the request to the
// server's owner and decides whether a failed attempt may be repeated.
//
// The package knows no HTTP. Package httpfront translates callers' requests into
// Incoming and results into responses; another front end can do the same.
package entry
