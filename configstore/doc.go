// Package configstore keeps the one configuration of the fleet: operators plan
// and confirm changes on the platform's table, and a Follower on each VM brings
// them into force.
//
// Invariants:
//   - A version, once accepted, never changes: its delta row is written once, in
//     the transaction that moves the head to it.
//   - The head moves only from n to n+1, so of two plans on the same base at
//     most one is accepted.
//   - A Follower never goes to a lower version, whatever the store or a peer
//     reports.
//
// Delta rows are kept. They are the record of who changed what, and the last
// resort when no snapshot can be used.
package configstore
