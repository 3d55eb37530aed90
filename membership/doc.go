// Package membership models the fleet of entry VMs: each VM's session lease, the
// member list agreed in the platform's table, and the rules by which a VM may
// act in a role.
//
// Member is the decision logic, with time passed in: Tick and Done take the
// time and results and return the Actions to carry out next. Fleet carries
// them out; tests carry out the same Actions in simulated time.
//
// Safety rests on these facts. "Clock drift within 10%" means that the rates
// of any two VMs' clocks differ by at most 10%.
//
//   - A lease counts from the moment the renewal was sent. A watcher counts from
//     the moment it saw the last change, for longer than the lease.
//   - A VM acts by its current list only while its last successful read of the
//     list was sent within the lease. A VM that joined waits at least as long
//     after it saw itself in the list, so the list before it is out of use.
//   - During a store outage a holder continues only with heartbeats from more
//     than half of its list by VMs that wrote nothing to the store since. A
//     takeover needs proof that more than half of every list that may be in
//     use did write since. Both cannot hold, because the two halves share a VM.
//   - The row of the list records the changes (Step) since the lists that are
//     certainly out of use, so that such proof covers older lists too.
//   - A VM that restarts replaces its own session row and its entry in the list
//     at once: roles go by VM ID, so no other VM gains one. The new process
//     then waits like any VM that joins, which covers the lease of the old one.
//     A process whose row was replaced by another one stops for good.
//
// The last fact assumes that two processes with one VM ID do not run while the
// store is partitioned between them; they would need the same addresses.
package membership
