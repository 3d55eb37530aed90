// Package hosted assembles the process of a VM on a prepared platform, whose
// store keeps the configuration and the registrations of backend servers, and
// shuts it down gracefully. It is the counterpart of package daemon, which
// assembles a VM that owns servers and keeps teams' buckets.
package hosted
