package membership

import (
	"time"

	"almondstile/vm"
)

// ownList is what a member knows of the member list.
type ownList struct {
	roster Roster
	// readSent is when the last read was sent that showed this version.
	readSent time.Time
	seen     time.Time // when the roster was received
	// history holds the lists seen without a gap in which this VM could not
	// act, newest last.
	history []seenList
	// joined is when this VM first saw itself in the list; priors are the lists
	// that could be in use then; settled says that they are not any more.
	joined  time.Time
	priors  []priorList
	settled bool
	since   time.Time // when settled became true
	// handover holds what is needed to act before that.
	handover handover
	// proposeAt is the earliest time for a change of the list by this VM.
	proposeAt time.Time
}

type seenList struct {
	list vm.MemberList
	seen time.Time
}

// maxHistory bounds the lists that tell since when this VM holds a role.
const maxHistory = 16

// confirm notes that a read sent at sent showed the known version.
func (l *ownList) confirm(sent time.Time) {
	if sent.After(l.readSent) {
		l.readSent = sent
	}
}

func (m *Member) rosterRead(now time.Time, a Action, r Result) {
	l := &m.list
	if r.Err != nil || r.Roster.List.Version < l.roster.List.Version {
		return
	}
	if r.Roster.List.Version == l.roster.List.Version {
		l.confirm(a.DecidedAt)
		return
	}
	if !now.Before(l.readSent.Add(m.options.LeaseDuration)) {
		// Others may have held and lost this VM's roles in the meantime.
		l.history = nil
	}
	l.roster, l.readSent, l.seen = r.Roster, a.DecidedAt, now
	l.history = append(l.history, seenList{r.Roster.List, now})
	if len(l.history) > maxHistory {
		l.history = append([]seenList(nil), l.history[1:]...)
	}
	for _, v := range r.Roster.departedIDs() {
		for _, list := range l.priors {
			list.left[v] = true
		}
	}
	m.follow(now)
}

// follow adapts the phase to a new list.
func (m *Member) follow(now time.Time) {
	in := contains(m.list.roster.List, m.self)
	switch {
	case m.phase == joining && in && m.session.held:
		m.phase = listed
		m.list.joined = now
		m.list.priors = m.list.roster.priors()
		m.list.handover = newHandover(m.list.roster, m.list.priors)
		m.settle(now)
	case m.phase == listed && !in:
		m.dropOut()
	}
}

// dropOut follows the loss of the place in the list. The session row is gone
// as well or belongs to another process, so it is read before the next write.
func (m *Member) dropOut() {
	if m.phase == listed {
		m.phase = joining
	}
	m.session.known = false
	m.list.settled = false
	m.list.priors = nil
	m.list.handover = handover{}
}

// settle ends the wait of a VM that joined, once no VM can act by a list from
// before.
func (m *Member) settle(now time.Time) {
	l := &m.list
	if m.phase != listed || l.settled {
		return
	}
	first := true
	for _, list := range l.priors {
		first = first && len(list.members) == 0
	}
	waited := !now.Before(l.joined.Add(m.options.takeoverWait()))
	// A list without the step that added this VM was written with the proof
	// that the lists before that step are out of use.
	proved := !l.roster.adds(m.self.ID) || m.evidence(now).excludesAll(l.priors, l.joined)
	if first || waited && proved {
		l.settled, l.since, l.priors = true, now, nil
	}
}

func (m *Member) evidence(now time.Time) evidence {
	return evidence{watch: &m.watch, options: m.options, now: now, rosterSeen: m.list.seen}
}

// Roster returns the member list that this VM uses.
func (m *Member) Roster() Roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.roster
}
