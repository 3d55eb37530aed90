// Command bench runs experiments on a fleet of real almondstile processes with
// stand-ins for the platform and the backend servers, and checks the promises of
// docs/design.md from the callers' and the servers' records.
//
//	go run ./bench list
//	go run ./bench run vm-crash --seed 3 --vms 48 --json
//
// It exits with 1 if a promise broke and with 2 if the run itself failed. It
// is not part of the almondstile binary.
package main
