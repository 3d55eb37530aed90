// Package retry decides whether a request is retried on another server after a
// failed attempt. Budgets limit the retries of a service to a share of its requests,
// so that retries cannot multiply the load on a failing service.
package retry
