// Package request describes one caller's request on its way through the fleet,
// independent of the protocol that carries it, and decides what may be done
// when an attempt fails.
//
// The central rule: a request that may have run is never run again unless its
// route says that it is idempotent, and a result says "not run" only when that
// is certain.
package request
