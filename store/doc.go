// Package store defines the interfaces of the platform services that almondstile
// uses: a transactional table, an object store and a list of VMs.
//
// State that VMs must agree on, or that must outlive them, is kept in these
// services. The error of a write reports whether the write took effect. With
// ErrNotDone and ErrConditionFailed it did not. With ErrUnknownOutcome it may have,
// and the caller must read the current state before it acts.
package store
