// Package serverlink records the link between this VM and each backend server
// that it owns, and decides whether an exchange goes to the server directly or
// through another VM (the exchange relay).
//
// A connect failure or silence on a direct attempt may be the fault of the link
// or of the server. The failure is withheld from the server's evidence until an
// exchange over a relay tells which: if the relay gets a response, the link is
// bad and the exchanges stay on the relay; if it fails too, the server is
// blamed. A refused connection, an error or a cut response came from the
// server's side, so the link works.
//
// The decisions take the time as an argument and send nothing. Records exist
// only for servers whose link failed lately; they are sharded by server.
package serverlink
