package membership

import (
	"context"
	"slices"

	"almondstile/store"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

// ErrNotListed says that none of the VMs is in the member list.
var ErrNotListed = errors.New("membership: none of the VMs is in the member list")

// Discard takes VMs off the member list that an operator knows to be gone for
// good. It is the way out when half of the list or more is lost and replaced by
// VMs with other IDs: the rest cannot prove that the lost VMs do not act. If a
// discarded VM still runs, two VMs may act in one role until it reads the list.
// The call may be repeated after any error.
func (f *Manager) Discard(ctx context.Context, lost []vm.ID) error {
	roster, err := f.store.readRoster(ctx)
	if err != nil {
		return err
	}
	rows, err := f.store.readSessions(ctx)
	if err != nil {
		return err
	}
	var remove []vm.ID
	for _, v := range roster.List.VMs {
		if slices.Contains(lost, v.ID) {
			remove = append(remove, v.ID)
		}
	}
	if len(remove) == 0 {
		return ErrNotListed
	}
	if len(remove) > maxRemovals {
		return errors.Wrapf(store.ErrNotDone, "%d VMs are too many for one transaction", len(remove))
	}
	// The operator's word takes the place of the proof, so the VMs count as
	// having left.
	change := RosterUpdate{BaseVersion: roster.List.Version, Next: roster.change(nil, remove, remove, false)}
	for _, row := range rows {
		if slices.Contains(remove, row.ID) {
			change.DeletedSessions = append(change.DeletedSessions, row)
		}
	}
	f.config.Log.WithField("vms", remove).Warn("an operator discards VMs from the member list")
	return f.store.changeRoster(ctx, change)
}
