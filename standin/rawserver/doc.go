// Package rawserver is a stand-in for HTTP servers that respond with any bytes, also with
// bytes that HTTP does not allow. It is for tests of what reads responses.
package rawserver
