// Package demo runs a small fleet in one process on loopback addresses: three VMs
// in three availability zones, with stand-ins for the platform and for the backend
// servers. Its configuration is that of a shop that lends ice cleats.
//
// With checks it also sends requests itself. It compares each response with what
// the backend servers recorded.
package demo
