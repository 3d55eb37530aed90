// Package header defines the names of the HTTP header fields that almondstile
// reads and sets. It removes the fields of a caller's request or a backend
// server's response that almondstile must not pass on.
package header
