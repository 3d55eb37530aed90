// Package store defines what almondstile needs from the platform that it
// runs on: a transactional table, an object store and a list of VMs.
//
// Everything that has to be agreed between VMs or outlive them goes through
// these services. Each error says whether the call took effect: ErrNotDone and
// ErrConditionFailed promise that it did not, ErrUnknownOutcome says that it may
// have, and the caller must read back before it decides anything.
package store
