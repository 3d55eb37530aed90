// Package httpconn sends one HTTP/1.1 request on a pooled TCP connection and
// reports how far the exchange got: nothing written, request written, or
// response complete.
//
// The package uses fasthttp to encode and decode messages but manages the
// connections itself. fasthttp's client retries requests on its own and does not
// report whether any byte was written. Callers need that fact to decide between
// the outcomes "not run" and "outcome unknown".
//
// All responses that the daemon reads pass the checks of this package: the heads and
// trailers of responses are checked by RFC 9110 and RFC 9112 before a library interprets
// them. Pool does this for responses of backend servers, of other VMs and of the
// platform's store, NewTransport for clients of net/http. A response that fails a check
// counts as not received; ViolationOf names the check.
package httpconn
