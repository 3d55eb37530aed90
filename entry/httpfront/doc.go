// Package httpfront is the HTTP server for callers. It limits the size and
// duration of requests, rejects requests with ambiguous framing and passes the
// others to a dispatcher. It writes the result with header fields that state
// whether the request took effect.
package httpfront
