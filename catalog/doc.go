// Package catalog holds what the platform's store says about a deployment: the
// operators' configuration, the zones that are out, and the registered backend
// servers. Each copy of a table carries the store's time at which it was last
// known to be current, so that every VM knows the age of its knowledge no matter
// through how many other VMs it came.
//
// Invariants: the version of a table's copy never goes back, and neither does
// the version of the configuration in force.
package catalog
