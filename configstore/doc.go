// Package configstore keeps the configuration of the fleet in the platform's
// table. Operators plan and confirm changes with a Planner. A Follower on each VM
// reads each newer configuration and activates it.
//
// Each accepted plan creates the next version. A delta row per version holds the
// plan's intent, the head row names the newest version, and a snapshot object
// holds the whole configuration of a version.
//
// Invariants:
//   - An accepted version never changes: its delta row is written once, in the
//     transaction that moves the head to the version.
//   - The head moves only from n to n+1, so of two plans on the same base at
//     most one is accepted.
//   - A Follower never goes back to a lower version, whatever the store or a peer
//     reports.
//
// A store that lost acknowledged writes breaks the first two; digests show its
// histories apart, and Followers write lost versions back.
//
// Delta rows are never deleted. They are the record of who changed what, and the
// configuration is rebuilt from them if no snapshot can be used.
package configstore
