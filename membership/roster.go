package membership

import (
	"slices"
	"strings"
	"time"

	"almondstile/vm"
)

// Step is one change of the member list.
type ListChange struct {
	// Added and Removed name the VMs that the change added and removed. A VM
	// that restarted is in both.
	Added   []vm.ID `json:"a,omitempty"`
	Removed []vm.ID `json:"r,omitempty"`
	// Left is the part of Removed that stopped acting before the change.
	Departed []vm.ID `json:"l,omitempty"`
}

// Roster is the member list with the steps since the last list that is
// certainly out of use, oldest first. It must not be modified once shared.
type Roster struct {
	List    vm.MemberList
	Changes []ListChange
}

// maxSteps bounds the row. At the limit a change must wait for the proof that
// older lists are out of use.
const maxSteps = 64

// priorList is a list that a VM without contact to the store may still use.
type priorList struct {
	members map[vm.ID]bool
	// left holds the members that shut down since and cannot vouch for anybody.
	left map[vm.ID]bool
	// removed holds the members that were taken off the list since, which cannot
	// act any more; left is a part of it. A member that was replaced by a new
	// process with its ID is in replaced instead: the old one may still act.
	removed, replaced map[vm.ID]bool
}

// priors returns the older lists that may be in use, newest first.
func (r Roster) priors() []priorList {
	members := make(map[vm.ID]bool, len(r.List.VMs))
	for _, v := range r.List.VMs {
		members[v.ID] = true
	}
	list := priorList{members: members}
	var lists []priorList
	for _, step := range slices.Backward(r.Changes) {
		list = list.before(step)
		lists = append(lists, list)
	}
	return lists
}

// before returns the list that the step was made on.
func (p priorList) before(step ListChange) priorList {
	q := priorList{copySet(p.members), copySet(p.left), copySet(p.removed), copySet(p.replaced)}
	for _, id := range step.Added {
		// What became of the added entry says nothing about an earlier one.
		delete(q.members, id)
		delete(q.left, id)
		delete(q.removed, id)
		delete(q.replaced, id)
	}
	for _, id := range step.Removed {
		q.members[id] = true
		if slices.Contains(step.Added, id) {
			q.replaced[id] = true
		} else {
			q.removed[id] = true
		}
	}
	for _, id := range step.Departed {
		q.left[id] = true
	}
	return q
}

func (r Roster) current() priorList {
	members := make(map[vm.ID]bool, len(r.List.VMs))
	for _, v := range r.List.VMs {
		members[v.ID] = true
	}
	return priorList{members: members}
}

func copySet(set map[vm.ID]bool) map[vm.ID]bool {
	out := make(map[vm.ID]bool, len(set))
	for id := range set {
		out[id] = true
	}
	return out
}

// wantsCompaction reports whether the steps would keep VMs that join from
// taking their roles by handover: many steps, or a process that was replaced
// and cannot be asked.
func (r Roster) wantsCompaction() bool {
	replaces := func(s ListChange) bool {
		return slices.ContainsFunc(s.Added, func(id vm.ID) bool { return slices.Contains(s.Removed, id) })
	}
	return len(r.Changes) >= compactSteps || slices.ContainsFunc(r.Changes, replaces)
}

// compact returns the same list without the steps.
func (r Roster) compact() Roster {
	return Roster{List: vm.MemberList{Version: r.List.Version + 1, VMs: r.List.VMs}}
}

// change returns the roster after adding and removing VMs. Steps are dropped if
// the older lists are certainly out of use.
func (r Roster) change(add []vm.VM, remove, left []vm.ID, outOfUse bool) Roster {
	step := ListChange{Removed: remove, Departed: left}
	next := Roster{List: vm.MemberList{Version: r.List.Version + 1}}
	for _, v := range r.List.VMs {
		replaced := slices.ContainsFunc(add, func(a vm.VM) bool { return a.ID == v.ID })
		if replaced {
			step.Removed = append(step.Removed, v.ID)
		}
		if !replaced && !slices.Contains(remove, v.ID) {
			next.List.VMs = append(next.List.VMs, v)
		}
	}
	for _, v := range add {
		step.Added = append(step.Added, v.ID)
		next.List.VMs = append(next.List.VMs, v)
	}
	slices.SortFunc(next.List.VMs, func(a, b vm.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if !outOfUse {
		next.Changes = slices.Clone(r.Changes)
	}
	if len(step.Added)+len(step.Removed) > 0 {
		next.Changes = append(next.Changes, step)
	}
	return next
}

// departedIDs returns the VMs that shut down and are not in the list.
func (r Roster) departedIDs() []vm.ID {
	last := make(map[vm.ID]bool) // whether the last removal was a departure
	for _, step := range r.Changes {
		for _, id := range step.Removed {
			last[id] = slices.Contains(step.Departed, id)
		}
		for _, id := range step.Added {
			delete(last, id)
		}
	}
	var ids []vm.ID
	for id, left := range last {
		if left {
			ids = append(ids, id)
		}
	}
	return ids
}

// adds reports whether one of the steps added the VM.
func (r Roster) adds(id vm.ID) bool {
	return slices.ContainsFunc(r.Changes, func(s ListChange) bool { return slices.Contains(s.Added, id) })
}

// contains reports whether the list has this VM with this incarnation.
func contains(list vm.MemberList, v vm.VM) bool {
	found, ok := list.Find(v.ID)
	return ok && found.Incarnation == v.Incarnation
}

// evidence decides from observed sessions whether VMs without the store can
// still act by the store-outage rule.
type evidence struct {
	watch   *SessionTracker
	options Options
	now     time.Time
	// rosterSeen is when the roster was received that the lists come from.
	rosterSeen time.Time
}

// excludes reports whether no VM whose last contact was before t0 can have the
// support of more than half of the list, now or later.
func (e evidence) excludes(list priorList, t0 time.Time) bool {
	after := t0.Add(e.options.evidenceDelay())
	seenBefore := e.now.Add(-e.options.silence())
	cannotVouch := 0
	for id := range list.members {
		if list.left[id] && e.rosterSeen.Before(seenBefore) || e.watch.WroteBetween(id, after, seenBefore) {
			cannotVouch++
		}
	}
	// An empty list has no VM that could act by it.
	return len(list.members) == 0 || cannotVouch > len(list.members)/2
}

func (e evidence) excludesAll(lists []priorList, t0 time.Time) bool {
	for _, list := range lists {
		if !e.excludes(list, t0) {
			return false
		}
	}
	return true
}
