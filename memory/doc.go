// Package memory bounds the bytes that a process holds for its peers: connections, heads and
// bodies of requests that arrive, requests that are being served, and answers on their way to
// slow readers. What it has to bound follows from the memory of the process (BudgetBytes).
//
// A Budget is one amount of bytes for the whole process. Each connection has a Lease of
// it, which takes bytes as they arrive and gives them back as they go. A body is held in
// pieces (Body) from a pool, never in a buffer of the announced size. When the budget or the
// number of connections is short, the Budget turns leases away, in an order that one function
// decides (compareHolders): those of which nothing has been passed on, answers that nobody
// reads, and connections without a request. What the holder of a lease does then, for
// instance close its connection, is its own matter: the package knows no network.
package memory
