// Package header names the HTTP header fields that almondstile reads and sets,
// and removes those that must not pass from one side to the other.
package header
