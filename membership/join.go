package membership

import (
	"slices"
	"time"
)

// joinAgain makes this VM join by the next list as if it had just started, after
// the list in use and those before it are out of use.
func (m *Member) joinAgain() {
	l := &m.list
	lostBefore := l.lostLists
	if l.olderLists != nil {
		lostBefore = l.olderLists // of an unfinished join; they contain lostLists
	}
	l.lostLists = append(append(l.roster.olderLists(), l.roster.current()), lostBefore...)
	l.history = nil
	l.rejoins++
	m.handleRemoval()
}

// updatePhase sets the phase by the current list. A joining VM becomes listed once
// the list contains it and a write of its session row is known to have taken
// effect. A listed VM that was removed joins again.
func (m *Member) updatePhase(now time.Time) {
	inList := contains(m.list.roster.List, m.self)
	switch {
	case m.phase == joining && inList && m.session.rowOwned:
		m.phase = listed
		m.list.joinedAt = now
		m.list.olderLists = append(m.list.roster.olderLists(), m.list.lostLists...)
		if len(m.list.lostLists) == 0 {
			m.list.handover = newHandover(m.list.roster, m.list.olderLists)
		}
		m.finishJoin(now)
	case m.phase == listed && !inList:
		m.handleRemoval()
	}
}

// handleRemoval resets the state of a VM that is not in the list any more, so that
// it joins again. Its session row was deleted or belongs to another process, so
// the row is read before the next write.
func (m *Member) handleRemoval() {
	if m.phase == listed {
		m.phase = joining
	}
	m.session.rowKnown = false
	m.list.joinFinished = false
	m.list.olderLists = nil
	m.list.handover = handover{}
}

// finishJoin ends the wait of a VM that joined, if no VM can act by an older list
// any more. This is the case if there was no older list with members, or if
// takeoverWait has passed and the older lists are proven out of use.
func (m *Member) finishJoin(now time.Time) {
	l := &m.list
	if m.phase != listed || l.joinFinished {
		return
	}
	noOlderMembers := !slices.ContainsFunc(l.olderLists, func(list olderList) bool { return len(list.members) > 0 })
	waited := !now.Before(l.joinedAt.Add(m.options.takeoverWait()))
	// If the current list no longer records the change that added this VM, its
	// writer had proof that the lists before that change are out of use. It had none
	// for lost lists, of which it may not know.
	provenByWriter := len(l.lostLists) == 0 && !l.roster.adds(m.self.ID)
	if noOlderMembers || waited && (provenByWriter || m.evidence(now).rulesOutMajorities(l.olderLists, l.joinedAt)) {
		l.joinFinished, l.joinFinishedAt, l.olderLists, l.lostLists = true, now, nil, nil
	}
}

// rejoins returns how often this VM joined again because the table had lost the list
// that it used.
func (m *Member) rejoins() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.rejoins
}
