// Package vmlist implements store.VMList on a service that returns a JSON
// array of VMs over HTTP.
package vmlist
