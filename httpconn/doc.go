// Package httpconn sends one HTTP/1.1 request on a pooled TCP connection and
// reports how far the exchange got: nothing written, request written, or
// response complete.
//
// The package uses fasthttp to encode and decode messages but manages the
// connections itself. fasthttp's client retries requests on its own and does not
// report whether any byte was written. Callers need that fact to decide between
// the outcomes "not run" and "outcome unknown".
package httpconn
