// Package demo runs a small fleet in one process on loopback: three VMs in three
// availability zones, stand-ins of the platform and of the backend servers, and
// a configuration in the terms of a lender of ice cleats.
//
// With checks it also sends requests itself and compares what each got with what
// the backend servers recorded.
package demo
