// Package integration tests the almondstile binary as operators and callers
// use it: its tests build the binary, run entry VMs as real processes against
// stand-ins of the platform and of backend servers, and run the commands on the
// pages in docs/operations.
package integration
