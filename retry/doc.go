// Package retry decides whether a failed attempt of a request is made again on
// another server, and keeps the retries of a service to a share of its
// successes, so that retries cannot multiply the load on a failing service.
package retry
