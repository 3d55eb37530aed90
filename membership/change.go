package membership

import (
	"slices"
	"time"

	"almondstile/vm"
)

const (
	// maxRemovals bounds the sessions that one transaction deletes. It leaves
	// room in the transaction for the two rows of the member list.
	maxRemovals = 90
	// proposalStagger is the delay between the attempts of VMs that could all
	// write the same list update. Usually the first VM writes it and the others
	// read the result before their turn.
	proposalStagger = 250 * time.Millisecond
	// maxProposalWait bounds the staggered delay, without jitter.
	maxProposalWait = 2 * time.Second
	// compactionThreshold is the number of recorded changes at which watchers
	// delete the record, once no older list can be in use. It is below
	// maxHandoverLists, so that VMs that join one after the other can get their
	// roles by handover.
	compactionThreshold = 3
	// leaveRetryPause is the time between two attempts of a leaving VM to remove
	// itself from the list.
	leaveRetryPause = 100 * time.Millisecond
	// staleSessionWaits is the age, in takeover waits, at which the unchanged
	// session of a VM that is not in the list is deleted.
	staleSessionWaits = 10
)

// proposeUpdate decides after a read of all sessions, sent at readSentAt, whether
// to update the member list. An update adds the joining VMs and removes the VMs
// that cannot act any more. If there are none of these, it deletes stale
// sessions, or else the recorded changes that are not needed any more. It returns
// no action while an update or a read of the list is in flight, while this VM is
// leaving, or if the store seems to be unavailable.
func (m *Member) proposeUpdate(now, readSentAt time.Time) []Action {
	l := &m.list
	if m.inFlight[UpdateRoster] || m.inFlight[ReadRoster] || m.phase == leaving || readSentAt.Before(l.receivedAt) ||
		!now.Before(l.lastReadSentAt.Add(m.options.PollEvery*outageSuspectedPolls)) {
		return nil
	}
	outOfUse := m.olderListsOutOfUse(now)
	add := m.joiningVMs(now)
	dead, stale := m.removableSessions(now)
	needed := len(add)+len(dead)+len(stale) > 0 || outOfUse && l.roster.needsCompaction()
	if !needed || len(l.roster.Changes) >= maxChanges && !outOfUse {
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
	update := RosterUpdate{Base: l.roster, Next: l.roster, DeletedSessions: append(dead, stale...)}
	switch {
	case len(add)+len(remove) > 0:
		update.Next = l.roster.withChange(add, remove, nil, outOfUse)
	case len(stale) == 0:
		update.Next = l.roster.withoutChanges()
	}
	return m.start(nil, Action{Kind: UpdateRoster, DecidedAt: now, Update: update})
}

// olderListsOutOfUse reports whether it is proven that no VM can act by a list
// older than the current one.
func (m *Member) olderListsOutOfUse(now time.Time) bool {
	l := &m.list
	return len(l.roster.Changes) > 0 && !now.Before(l.receivedAt.Add(m.options.takeoverWait())) &&
		m.evidence(now).rulesOutMajorities(l.roster.olderLists(), l.receivedAt)
}

// proposalDelay returns how long this VM waits before it writes a list update.
// VMs that see the same reason for an update wait for different times: joining
// VMs in the order of their IDs, watchers in the order of their ranks.
func (m *Member) proposalDelay(now time.Time, add []vm.VM) time.Duration {
	position := m.watcherRank(now)
	if m.phase == joining {
		position = slices.IndexFunc(add, func(v vm.VM) bool { return v.ID == m.self.ID })
	}
	return m.staggeredDelay(position)
}

// staggeredDelay returns the delay of the VM with the given position among those
// that could write the same list update.
func (m *Member) staggeredDelay(position int) time.Duration {
	jitter := time.Duration(m.jitter.Int64N(int64(proposalStagger)))
	return min(time.Duration(max(position, 0))*proposalStagger+jitter, maxProposalWait+jitter)
}

// joiningVMs returns the VMs with a live session that are not in the list, sorted
// by ID. One update adds all of them, so that VMs that start together need few
// updates.
func (m *Member) joiningVMs(now time.Time) []vm.VM {
	var add []vm.VM
	for _, row := range m.tracker.ChangedSince(now.Add(-m.options.LeaseDuration)) {
		if row.VM != nil && row.VM.ID == row.ID && !contains(m.list.roster.List, *row.VM) {
			add = append(add, *row.VM)
		}
	}
	slices.SortFunc(add, compareIDs)
	return add
}

// removableSessions returns in dead the sessions of listed VMs that are proven
// unable to act any more. If there are none, it returns in stale the sessions
// left behind by VMs that are not in the list.
func (m *Member) removableSessions(now time.Time) (dead, stale []SessionRow) {
	wait := m.options.takeoverWait()
	r := m.list.roster
	var inUse []olderList
	for _, v := range r.List.VMs {
		row, changedAt, ok := m.tracker.Session(v.ID)
		if !ok || v.ID == m.self.ID || now.Before(changedAt.Add(wait)) || len(dead) == maxRemovals {
			continue
		}
		if inUse == nil {
			inUse = append(r.olderLists(), r.current())
		}
		if m.evidence(now).rulesOutMajorities(inUse, changedAt) {
			dead = append(dead, row)
		}
	}
	if len(dead) == 0 {
		stale = m.staleSessions(now, wait*staleSessionWaits)
	}
	return dead, stale
}

// staleSessions returns up to maxRemovals sessions of other VMs that are not in
// the list and whose sessions have not changed for the duration wait.
func (m *Member) staleSessions(now time.Time, wait time.Duration) []SessionRow {
	var rows []SessionRow
	for _, row := range m.tracker.ChangedSince(time.Time{}) {
		_, listed := m.list.roster.List.Find(row.ID)
		_, changedAt, ok := m.tracker.Session(row.ID)
		if ok && !listed && row.ID != m.self.ID && !now.Before(changedAt.Add(wait)) && len(rows) < maxRemovals {
			rows = append(rows, row)
		}
	}
	return rows
}

// raiseList handles a read of a list that is not the one in use and does not have a
// higher version: the table went back. This VM then writes the stored list again
// under a version above the one in use, so that versions keep rising for all VMs.
// VMs take turns as in proposeUpdate.
func (m *Member) raiseList(now, readSentAt time.Time, stored Roster) []Action {
	l := &m.list
	if readSentAt.Before(l.receivedAt) || m.phase == leaving {
		return nil // the read may be older than the list in use
	}
	if l.raiseAt.IsZero() {
		l.raiseAt = now.Add(m.staggeredDelay(m.watcherRank(now)))
	}
	if now.Before(l.raiseAt) {
		return nil // the next poll reads the list again
	}
	l.raiseAt = time.Time{}
	update := RosterUpdate{Base: stored, Next: stored.raisedAbove(l.roster)}
	return m.start(nil, Action{Kind: UpdateRoster, DecidedAt: now, Update: update})
}

// leaveActions returns the action that removes this VM from the list and deletes
// its session. If the session row is already gone, the VM has left.
func (m *Member) leaveActions(now time.Time) []Action {
	l := &m.list
	if m.session.row.Version == 0 {
		m.phase = gone
		return nil
	}
	if len(l.roster.Changes) >= maxChanges {
		return nil // no room until a watcher deletes the recorded changes
	}
	update := RosterUpdate{Base: l.roster, Next: l.roster, DeletedSessions: []SessionRow{m.session.row}}
	if contains(l.roster.List, m.self) {
		departed := []vm.ID{m.self.ID}
		update.Next = l.roster.withChange(nil, departed, departed, false)
	}
	return m.start(nil, Action{Kind: UpdateRoster, DecidedAt: now, Update: update})
}

// handleUpdateResult reads the list again after an update, whether the update
// succeeded or not. A leaving VM whose update succeeded has left and reads
// nothing. One whose update failed tries again after leaveRetryPause: the list and
// the session that it reads may make the update fail again.
func (m *Member) handleUpdateResult(now time.Time, a Action, r Result) []Action {
	if m.phase != leaving {
		return m.start(nil, Action{Kind: ReadRoster, DecidedAt: now})
	}
	if r.Err == nil && a.deletesSession(m.self.ID) {
		m.phase = gone
		return nil
	}
	m.session.rowKnown = false // the next poll reads it and then leaves
	m.nextPoll = earlier(m.nextPoll, now.Add(leaveRetryPause))
	return m.start(nil, Action{Kind: ReadRoster, DecidedAt: now})
}

// deletesSession reports whether the update of this action deletes the session
// of the VM.
func (a Action) deletesSession(id vm.ID) bool {
	return slices.ContainsFunc(a.Update.DeletedSessions, func(row SessionRow) bool { return row.ID == id })
}
