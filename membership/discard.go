package membership

import (
	"context"
	"slices"

	"almondstile/store"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

// ErrNotListed is returned by Discard if none of the given VMs is in the member
// list.
var ErrNotListed = errors.New("membership: none of the VMs is in the member list")

// Discard removes VMs from the member list that an operator asserts to have
// ended for good. It is needed when half of the list or more is lost and replaced
// by VMs with other IDs, because the remaining VMs then cannot prove that the
// lost VMs do not act. If a discarded VM still runs, two VMs may act in one role
// until the discarded VM reads the list. Discard returns ErrNotListed if none of
// the VMs is in the list, or an error of package store; it may be repeated after
// any error.
func (m *Manager) Discard(ctx context.Context, lost []vm.ID) error {
	roster, err := m.store.readRoster(ctx)
	if err != nil {
		return err
	}
	rows, err := m.store.readSessions(ctx)
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
		return errors.Wrapf(store.ErrNotDone, "discarding %d VMs exceeds the limit of one transaction", len(remove))
	}
	// The operator's assertion replaces the proof from the sessions, so the VMs
	// are recorded as departed.
	update := RosterUpdate{Base: roster, Next: roster.withChange(nil, remove, remove, false)}
	for _, row := range rows {
		if slices.Contains(remove, row.ID) {
			update.DeletedSessions = append(update.DeletedSessions, row)
		}
	}
	m.config.Log.WithField("vms", remove).Warn("An operator discards VMs from the member list.")
	return m.store.updateRoster(ctx, update)
}
