// Package vmlist implements store.VMList on an HTTP service that returns the VMs as
// a JSON array.
package vmlist
