// Command bench runs experiments on a fleet of real almondstile processes, with
// stand-ins for the platform and the backend servers. It checks the promises of
// docs/design.md against the records of the callers and of the servers.
//
//	go run ./bench list
//	go run ./bench run vm-crash --seed 3 --vms 48 --json
//
// The exit code is 1 if a promise was broken and 2 if the run itself failed. The
// command is not part of the almondstile binary.
package main
