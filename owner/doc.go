// Package owner is the owner VM's side of a request: it checks that this VM
// still owns the backend server, admits the request to one of the server's
// slots, runs the exchange and records what it showed.
//
// All requests to a server pass its owner, so the limits kept here hold for the
// whole fleet.
package owner
