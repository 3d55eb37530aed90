// Package daemon assembles one entry VM's process from its parts, runs their
// goroutines and shuts them down in an order that loses no request.
package daemon
