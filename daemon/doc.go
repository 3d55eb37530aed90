// Package daemon runs the process of one entry VM. It creates the VM's components,
// runs their goroutines, and on shutdown stops them in an order that loses no
// request.
package daemon
