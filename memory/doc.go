// Package memory bounds the bytes that a process holds for its peers: bodies of requests
// that arrive, requests that are being served, and answers on their way to slow readers.
//
// A Budget is one amount of bytes for the whole process. Each connection has a Lease of
// it, which takes bytes as they arrive and gives them back as they go. A body is held in
// pieces (Body) from a pool, never in a buffer of the announced size. When the budget is
// short, the Budget turns leases away: those that hold a request of which nothing has been
// passed on, or an answer that its reader does not take, the slowest and least complete
// first (victims). What the holder of a lease does then, for instance close its
// connection, is its own matter: the package knows no network.
package memory
