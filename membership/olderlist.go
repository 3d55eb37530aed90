package membership

import (
	"slices"

	"almondstile/vm"
)

// olderList is a list that a VM without a connection to the store may still use.
type olderList struct {
	members map[vm.ID]bool
	// departed holds the members that have shut down since, which support no
	// holder any more. It is not nil: a VM that reads a newer roster adds to it.
	departed map[vm.ID]bool
	// removed holds the members that have been removed since and cannot act any
	// more; it contains departed. replaced holds the members whose VM restarted
	// since: the process before the restart may still act.
	removed, replaced map[vm.ID]bool
}

// current returns the current list as an olderList, for majorityEvidence and as the
// start of olderLists.
func (r Roster) current() olderList {
	members := make(map[vm.ID]bool, len(r.List.VMs))
	for _, v := range r.List.VMs {
		members[v.ID] = true
	}
	return olderList{members: members, departed: make(map[vm.ID]bool)}
}

// olderLists returns the older lists that VMs may still use, newest first.
func (r Roster) olderLists() []olderList {
	list := r.current()
	var lists []olderList
	for _, change := range slices.Backward(r.Changes) {
		list = list.beforeChange(change)
		lists = append(lists, list)
	}
	return lists
}

// beforeChange returns the list to which the change was applied.
func (l olderList) beforeChange(change ListChange) olderList {
	older := olderList{copySet(l.members), copySet(l.departed), copySet(l.removed), copySet(l.replaced)}
	for _, id := range change.Added {
		// The later fate of the added process says nothing about an earlier
		// process with the same ID.
		delete(older.members, id)
		delete(older.departed, id)
		delete(older.removed, id)
		delete(older.replaced, id)
	}
	for _, id := range change.Removed {
		older.members[id] = true
		if slices.Contains(change.Added, id) {
			older.replaced[id] = true
		} else {
			older.removed[id] = true
		}
	}
	for _, id := range change.Departed {
		older.departed[id] = true
	}
	return older
}

func copySet(set map[vm.ID]bool) map[vm.ID]bool {
	out := make(map[vm.ID]bool, len(set))
	for id := range set {
		out[id] = true
	}
	return out
}
