// Package catalog keeps a VM's copies of the store's tables: the operators'
// configuration, the zones that are out, and the registered backend servers.
//
// A VM updates its copies from the store or from other VMs. Each copy carries the
// time of the store's clock at which it was last known to be current. So every VM
// knows the age of its copies, however many VMs passed them on.
//
// Invariants: the version of a table's copy never goes back, and neither does
// the version of the configuration in force.
package catalog
