// Package httpconn sends one HTTP/1.1 request on a pooled TCP connection and
// reports exactly how far it got.
//
// The message codec is fasthttp's. The connections are managed here because
// fasthttp's own client resends requests by itself and does not tell whether
// any byte was written, and the decision between "not run" and "outcome unknown"
// rests on that.
package httpconn
