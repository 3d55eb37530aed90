// Package integration tests the almondstile binary the way operators and
// callers use it. The tests build the binary and run entry VMs as separate
// processes against stand-ins for the platform and the backend servers. They
// also run the commands on the pages in docs/operations.
package integration
