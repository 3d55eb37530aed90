package membership

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

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

// maxLineage bounds the size of the list's row. A VM that missed more changes of
// the list joins again.
const maxLineage = 32

// maxChanges bounds the size of the list's row. At the limit, further changes wait
// until it is proven that the older lists are out of use.
const maxChanges = 64

// olderList is a list that a VM without a connection to the store may still use.
type olderList struct {
	members map[vm.ID]bool
	// departed holds the members that have shut down since, which support no
	// holder any more.
	departed map[vm.ID]bool
	// removed holds the members that have been removed since and cannot act any
	// more; it contains departed. replaced holds the members whose VM restarted
	// since: the process before the restart may still act.
	removed, replaced map[vm.ID]bool
}

// olderLists returns the older lists that VMs may still use, newest first.
func (r Roster) olderLists() []olderList {
	members := make(map[vm.ID]bool, len(r.List.VMs))
	for _, v := range r.List.VMs {
		members[v.ID] = true
	}
	list := olderList{members: members}
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

// current returns the current list as an olderList, for majorityEvidence.
func (r Roster) current() olderList {
	members := make(map[vm.ID]bool, len(r.List.VMs))
	for _, v := range r.List.VMs {
		members[v.ID] = true
	}
	return olderList{members: members, departed: make(map[vm.ID]bool)}
}

func copySet(set map[vm.ID]bool) map[vm.ID]bool {
	out := make(map[vm.ID]bool, len(set))
	for id := range set {
		out[id] = true
	}
	return out
}

// needsCompaction reports whether the recorded changes would keep joining VMs from
// taking roles by handover. This is the case if there are many changes, or if one
// of them replaced a process, which cannot be reached by heartbeats any more.
func (r Roster) needsCompaction() bool {
	replacesProcess := func(s ListChange) bool {
		return slices.ContainsFunc(s.Added, func(id vm.ID) bool { return slices.Contains(s.Removed, id) })
	}
	return len(r.Changes) >= compactionThreshold || slices.ContainsFunc(r.Changes, replacesProcess)
}

// id returns the ID of the list, or "" if it has none.
func (r Roster) id() string {
	if len(r.Lineage) == 0 {
		return ""
	}
	return r.Lineage[0]
}

// isList reports whether the version and the ID are those of the list.
func (r Roster) isList(version uint64, id string) bool {
	return r.List.Version == version && r.id() == id
}

// contradicts reports whether a heartbeat shows that the list has changed, or that
// its VM uses a list of which this one was not made.
func (r Roster) contradicts(hb Heartbeat) bool {
	return hb.ListVersion > r.List.Version || hb.ListID != "" && len(r.Lineage) > 0 && !slices.Contains(r.Lineage, hb.ListID)
}

// follows reports whether the list was made from the earlier list by changes. That
// is assumed if the earlier list has version 0, or if one of them was written by a
// process without IDs.
func (r Roster) follows(earlier Roster) bool {
	unknown := earlier.List.Version == 0 || earlier.id() == "" || r.id() == ""
	return unknown || slices.Contains(r.Lineage, earlier.id())
}

// nextLineage returns the lineage of a list that follows this one.
func (r Roster) nextLineage() []string {
	const base = 36
	lineage := append([]string{strconv.FormatUint(uint64(rand.Uint32()), base)}, r.Lineage...)
	return lineage[:min(len(lineage), maxLineage)]
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
	all := slices.Concat(ids, lostIDs)
	next.Changes = append(slices.Clone(r.Changes),
		ListChange{Added: all, Removed: ids}, ListChange{Added: all, Removed: lostIDs})
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
	slices.SortFunc(next.List.VMs, func(a, b vm.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
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

// majorityEvidence decides from the observed sessions whether VMs that are
// disconnected from the store can still act by the store-outage rule.
type majorityEvidence struct {
	tracker *SessionTracker
	options Options
	now     time.Time
	// rosterReceivedAt is when the roster was received that contains the lists.
	rosterReceivedAt time.Time
}

// rulesOutMajority reports whether no VM whose last store call was before t0 can
// have the support of more than half of the list, now or later. This is proven if
// more than half of the members have departed or have written their sessions after
// t0 plus writeProofDelay, and their earlier heartbeats have expired since.
func (e majorityEvidence) rulesOutMajority(list olderList, t0 time.Time) bool {
	writtenAfter := t0.Add(e.options.writeProofDelay())
	seenBefore := e.now.Add(-e.options.heartbeatExpiry())
	cannotSupport := 0
	for id := range list.members {
		if list.departed[id] && e.rosterReceivedAt.Before(seenBefore) || e.tracker.WroteBetween(id, writtenAfter, seenBefore) {
			cannotSupport++
		}
	}
	// An empty list has no VM that could act by it.
	return len(list.members) == 0 || cannotSupport > len(list.members)/2
}

// rulesOutMajorities reports whether rulesOutMajority holds for each of the lists.
func (e majorityEvidence) rulesOutMajorities(lists []olderList, t0 time.Time) bool {
	for _, list := range lists {
		if !e.rulesOutMajority(list, t0) {
			return false
		}
	}
	return true
}
