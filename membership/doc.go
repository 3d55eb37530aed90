// Package membership models the fleet of entry VMs: each VM's session lease, the
// member list agreed in the platform's table, and the rules by which a VM may
// act in a role.
//
// Member is the decision logic and gets the time from its caller. Tick and
// HandleResult take the time and results and return the Actions to carry out
// next. Manager carries them out; tests carry out the same Actions in simulated
// time.
//
// The package guarantees that no two VMs act in one role at the same time. The
// guarantee assumes that the rates of any two VMs' clocks differ by at most 10%
// (the clock drift) and rests on these rules:
//
//   - The holder of a lease counts it from the time at which it sent the renewal.
//     A watcher counts from the later time at which it saw the last change of the
//     session row, and waits for longer than the lease.
//   - A VM acts by its current list only while its last successful read of the
//     list was sent within the lease duration. A VM that joined waits at least as
//     long after it found itself in the list, so that older lists are out of use.
//     If there are few older lists, it may act in a role earlier: once the holders
//     of the role by those lists have sent heartbeats with a list that contains
//     the new VM.
//   - During a store outage, a holder continues only while it has heartbeats from
//     more than half of the VMs in its list and these VMs wrote nothing to the
//     store after the holder's last store call. A takeover needs proof that more
//     than half of the VMs in every list that may be in use did write after it.
//     Two such majorities share a VM, so both conditions cannot hold together.
//   - The row of the list records the changes (ListChange) since the last list
//     that is proven out of use, so that the proof covers older lists too.
//   - Each list has an ID and names the lists from which it was made. If the table
//     goes back to an older copy, a VM with a higher version writes the stored list
//     again under a version above its own, so that versions rise for all VMs. A VM
//     that reads a list that was not made from its own joins again, and its own
//     list and those before it count as older lists.
//   - A VM that restarts replaces its own session row and its entry in the list
//     without a wait. Roles are assigned by VM ID, so no other VM gains a role.
//     The new process then waits like any VM that joins, and the wait covers the
//     lease of the old process. A process stops for good once another process
//     has replaced its session row.
//
// A table that loses acknowledged writes is bridged only in part; see
// docs/PROMISES.md.
//
// The last rule assumes that a network partition never leaves two processes with
// the same VM ID running, one of them without the store. Two such processes would
// need the same addresses.
package membership
