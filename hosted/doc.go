// Package hosted assembles, runs and shuts down the process of a VM on a platform
// whose store holds the configuration and the registrations of backend servers.
//
// It is the counterpart of package daemon, which assembles a VM that owns servers
// and holds teams' buckets.
package hosted
