package membership

import (
	"slices"
	"strings"
	"time"

	"almondstile/vm"
)

const (
	// maxRemovals leaves room for the list's two rows in a transaction.
	maxRemovals = 90
	// proposalStagger spreads the attempts of VMs that could all make the same
	// change, so that mostly one writes and the others see the result.
	proposalStagger = 250 * time.Millisecond
	// maxProposalWait bounds the wait of the last in line.
	maxProposalWait = 2 * time.Second
	// compactSteps is the number of steps from which watchers drop those that
	// are certainly out of use. It is below maxHandoverLists, so that VMs that
	// join one after the other get their roles by handover.
	compactSteps = 3
	// forgottenWaits is after how many takeover waits the unchanged session of a
	// VM that is not in the list is deleted.
	forgottenWaits = 10
)

// changes decides on a change of the list after a read of all sessions.
// That read was sent at readSent.
func (m *Member) changes(now, readSent time.Time) []Action {
	l := &m.list
	if m.busy[UpdateRoster] || m.busy[ReadRoster] || m.phase == leaving || readSent.Before(l.seen) ||
		!now.Before(l.readSent.Add(m.options.PollEvery*outageSuspectedPolls)) {
		return nil
	}
	outOfUse := m.outOfUse(now)
	add := m.arrivals(now)
	dead, forgotten := m.departed(now)
	wanted := len(add)+len(dead)+len(forgotten) > 0 || outOfUse && l.roster.wantsCompaction()
	if !wanted || len(l.roster.Changes) >= maxSteps && !outOfUse {
		l.proposeAt = time.Time{}
		return nil
	}
	if l.proposeAt.IsZero() {
		l.proposeAt = now.Add(m.proposalDelay(now, add))
	}
	if now.Before(l.proposeAt) {
		return nil
	}
	l.proposeAt = time.Time{}
	var remove []vm.ID
	for _, row := range dead {
		remove = append(remove, row.ID)
	}
	change := RosterUpdate{BaseVersion: l.roster.List.Version, Next: l.roster, DeletedSessions: append(dead, forgotten...)}
	switch {
	case len(add)+len(remove) > 0:
		change.Next = l.roster.change(add, remove, nil, outOfUse)
	case len(forgotten) == 0:
		change.Next = l.roster.compact()
	}
	return m.start(nil, Action{Kind: UpdateRoster, DecidedAt: now, Update: change})
}

// outOfUse reports whether no VM can act by any list before the current one.
func (m *Member) outOfUse(now time.Time) bool {
	l := &m.list
	return len(l.roster.Changes) > 0 && !now.Before(l.seen.Add(m.options.takeoverWait())) &&
		m.evidence(now).excludesAll(l.roster.priors(), l.seen)
}

// proposalDelay puts VMs that see the same reason for a change in an order:
// those that wait to join by ID, watchers by rank.
func (m *Member) proposalDelay(now time.Time, add []vm.VM) time.Duration {
	place := m.watcherRank(now)
	if m.phase == joining {
		place = slices.IndexFunc(add, func(v vm.VM) bool { return v.ID == m.self.ID })
	}
	jitter := time.Duration(m.jitter.Int64N(int64(proposalStagger)))
	return min(time.Duration(max(place, 0))*proposalStagger+jitter, maxProposalWait+jitter)
}

// arrivals returns the VMs with a live session that are not in the list. All of
// them are added at once, so that VMs that start together need few changes.
func (m *Member) arrivals(now time.Time) []vm.VM {
	var add []vm.VM
	for _, row := range m.watch.ChangedSince(now.Add(-m.options.LeaseDuration)) {
		if row.VM != nil && row.VM.ID == row.ID && !contains(m.list.roster.List, *row.VM) {
			add = append(add, *row.VM)
		}
	}
	slices.SortFunc(add, func(a, b vm.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return add
}

// departed returns the sessions of listed VMs that certainly cannot act any
// more, and sessions left behind by VMs that never got into the list.
func (m *Member) departed(now time.Time) (dead, forgotten []SessionRow) {
	wait := m.options.takeoverWait()
	r := m.list.roster
	var lists []priorList
	for _, v := range r.List.VMs {
		row, lastChange, ok := m.watch.Session(v.ID)
		if !ok || v.ID == m.self.ID || now.Before(lastChange.Add(wait)) || len(dead) == maxRemovals {
			continue
		}
		if lists == nil {
			lists = append(r.priors(), r.current())
		}
		if m.evidence(now).excludesAll(lists, lastChange) {
			dead = append(dead, row)
		}
	}
	if len(dead) == 0 {
		forgotten = m.forgotten(now, wait*forgottenWaits)
	}
	return dead, forgotten
}

func (m *Member) forgotten(now time.Time, wait time.Duration) []SessionRow {
	var rows []SessionRow
	for _, row := range m.watch.ChangedSince(time.Time{}) {
		_, listed := m.list.roster.List.Find(row.ID)
		_, lastChange, ok := m.watch.Session(row.ID)
		if ok && !listed && row.ID != m.self.ID && !now.Before(lastChange.Add(wait)) && len(rows) < maxRemovals {
			rows = append(rows, row)
		}
	}
	return rows
}

// departure returns the action by which this VM leaves the list.
func (m *Member) departure(now time.Time) []Action {
	l := &m.list
	if m.session.row.Version == 0 {
		m.phase = gone
		return nil
	}
	if len(l.roster.Changes) >= maxSteps {
		return nil // a watcher drops old steps soon
	}
	change := RosterUpdate{BaseVersion: l.roster.List.Version, Next: l.roster, DeletedSessions: []SessionRow{m.session.row}}
	if contains(l.roster.List, m.self) {
		gone := []vm.ID{m.self.ID}
		change.Next = l.roster.change(nil, gone, gone, false)
	}
	return m.start(nil, Action{Kind: UpdateRoster, DecidedAt: now, Update: change})
}

// rosterChanged reads back what a change did, whatever its result says.
func (m *Member) rosterChanged(now time.Time, a Action, r Result) []Action {
	if m.phase != leaving {
		return m.start(nil, Action{Kind: ReadRoster, DecidedAt: now})
	}
	if r.Err == nil && a.departs(m.self.ID) {
		m.phase = gone
		return nil
	}
	m.session.known = false
	actions := m.start(nil, Action{Kind: ReadRoster, DecidedAt: now})
	return m.start(actions, Action{Kind: ReadSession, DecidedAt: now})
}

func (a Action) departs(id vm.ID) bool {
	return slices.ContainsFunc(a.Update.DeletedSessions, func(row SessionRow) bool { return row.ID == id })
}
