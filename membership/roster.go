package membership

import (
	"cmp"
	"slices"

	"almondstile/vm"
)

// ListChange is one change of the member list.
type ListChange struct {
	// Added and Removed hold the IDs of the VMs that the change added and removed.
	// A VM that restarted is in both.
	Added   []vm.ID `json:"a,omitempty"`
	Removed []vm.ID `json:"r,omitempty"`
	// Departed holds the VMs of Removed that stopped acting before the change.
	Departed []vm.ID `json:"l,omitempty"`
}

// Roster is the member list with the recorded changes, oldest first, since the
// last list that is proven out of use. It must not be modified once shared.
//
// Versions of lists only rise for a VM, but the table may go back to an older copy
// and give the versions of its rows out again. So a list also has an ID, and the
// list's version is above the row's if the table has gone back.
type Roster struct {
	List    vm.MemberList
	Changes []ListChange
	// Lineage holds the ID of the list and those of the lists before it, newest
	// first, at most maxLineage. It is empty for a list that was written by a
	// process without IDs.
	Lineage []string
	// RowVersion is the version of the stored row.
	RowVersion uint64
}

// maxChanges bounds the size of the list's row. At the limit, further changes wait
// until it is proven that the older lists are out of use.
const maxChanges = 64

// needsCompaction reports whether the recorded changes would keep joining VMs from
// taking roles by handover. This is the case if there are many changes, or if one
// of them replaced a process, which cannot be reached by heartbeats any more.
func (r Roster) needsCompaction() bool {
	replacesProcess := func(s ListChange) bool {
		return slices.ContainsFunc(s.Added, func(id vm.ID) bool { return slices.Contains(s.Removed, id) })
	}
	return len(r.Changes) >= compactionThreshold || slices.ContainsFunc(r.Changes, replacesProcess)
}

// withoutChanges returns the same list under the next version, without recorded
// changes.
func (r Roster) withoutChanges() Roster {
	return Roster{List: vm.MemberList{Version: r.List.Version + 1, VMs: r.List.VMs}, Lineage: r.nextLineage()}
}

// raisedAbove returns the same list under a version above the one of lost, which
// the table has lost. The recorded changes then also lead through lost, with each
// member marked as replaced, so that no VM takes a role from a holder by that list
// before the list is proven out of use.
func (r Roster) raisedAbove(lost Roster) Roster {
	version := max(r.List.Version, lost.List.Version) + 1
	next := Roster{List: vm.MemberList{Version: version, VMs: r.List.VMs}, Lineage: r.nextLineage()}
	ids, lostIDs := listIDs(r.List), listIDs(lost.List)
	// With these changes, beforeChange leads from next to the members of lost and from
	// there to those of r. Each of them is in Added and Removed, so it counts as replaced.
	all := slices.Concat(ids, lostIDs)
	toLost := ListChange{Added: all, Removed: ids}
	toNext := ListChange{Added: all, Removed: lostIDs}
	next.Changes = append(slices.Clone(r.Changes), toLost, toNext)
	return next
}

// listIDs returns the IDs of the VMs in the list.
func listIDs(list vm.MemberList) []vm.ID {
	ids := make([]vm.ID, len(list.VMs))
	for i, v := range list.VMs {
		ids[i] = v.ID
	}
	return ids
}

// withChange returns the next roster after it adds and removes the given VMs.
// departed is the part of remove that stopped acting before the change. If
// dropChanges is set, the earlier recorded changes are dropped, which requires
// that the older lists are proven out of use.
func (r Roster) withChange(add []vm.VM, remove, departed []vm.ID, dropChanges bool) Roster {
	change := ListChange{Removed: remove, Departed: departed}
	next := Roster{List: vm.MemberList{Version: r.List.Version + 1}, Lineage: r.nextLineage()}
	for _, v := range r.List.VMs {
		replaced := slices.ContainsFunc(add, func(a vm.VM) bool { return a.ID == v.ID })
		if replaced {
			change.Removed = append(change.Removed, v.ID)
		}
		if !replaced && !slices.Contains(remove, v.ID) {
			next.List.VMs = append(next.List.VMs, v)
		}
	}
	for _, v := range add {
		change.Added = append(change.Added, v.ID)
		next.List.VMs = append(next.List.VMs, v)
	}
	slices.SortFunc(next.List.VMs, compareIDs)
	if !dropChanges {
		next.Changes = slices.Clone(r.Changes)
	}
	if len(change.Added)+len(change.Removed) > 0 {
		next.Changes = append(next.Changes, change)
	}
	return next
}

// departedIDs returns the VMs that shut down and are not in the list. Only the
// recorded changes count.
func (r Roster) departedIDs() []vm.ID {
	departedLast := make(map[vm.ID]bool) // whether the VM had shut down before its last removal
	for _, change := range r.Changes {
		for _, id := range change.Removed {
			departedLast[id] = slices.Contains(change.Departed, id)
		}
		for _, id := range change.Added {
			delete(departedLast, id)
		}
	}
	var ids []vm.ID
	for id, departed := range departedLast {
		if departed {
			ids = append(ids, id)
		}
	}
	return ids
}

// adds reports whether one of the recorded changes added the VM.
func (r Roster) adds(id vm.ID) bool {
	return slices.ContainsFunc(r.Changes, func(s ListChange) bool { return slices.Contains(s.Added, id) })
}

// contains reports whether the list contains the VM with the same incarnation.
func contains(list vm.MemberList, v vm.VM) bool {
	found, ok := list.Find(v.ID)
	return ok && found.Incarnation == v.Incarnation
}

// compareIDs orders VMs by their IDs.
func compareIDs(a, b vm.VM) int { return cmp.Compare(a.ID, b.ID) }
