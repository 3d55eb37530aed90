package membership

import (
	"slices"
	"time"

	"almondstile/vm"
)

// listState is the state of the member list on this VM.
type listState struct {
	roster Roster
	// lastReadSentAt is when the last read was sent that returned the version of
	// roster.
	lastReadSentAt time.Time
	receivedAt     time.Time // when the roster was received
	// history holds the received lists, newest last. It is cleared when this VM
	// could not read the list for as long as a lease, because other VMs may have
	// held its roles meanwhile.
	history []receivedList
	// joinedAt is when this VM first found itself in the list. olderLists are the
	// lists that other VMs could use at that time. joinFinished is set once it is
	// proven that no VM can act by them.
	joinedAt       time.Time
	olderLists     []olderList
	joinFinished   bool
	joinFinishedAt time.Time // when joinFinished was set
	// handover lets this VM act in single roles before the join is finished.
	handover handover
	// lostLists are lists that the table has lost and by which other VMs may still
	// act. They count as older lists of the next join.
	lostLists []olderList
	// supportedAt is when this VM last had the support of the store-outage rule
	// while it could not rely on its lease and its last read of the list.
	supportedAt time.Time
	// resumeAt is the time before which this VM does not act after it was without
	// the table and that support; see delayActingAfterLapse.
	resumeAt time.Time
	// rejoins counts the lists that replaced the one in use without following it.
	rejoins uint64
	// raiseAt is the earliest time at which this VM may raise the version of the
	// list after the table went back. It is zero if the table did not.
	raiseAt time.Time
	// proposeAt is the earliest time at which this VM may write a list update. It
	// is zero if no update is needed.
	proposeAt time.Time
}

// receivedList is a member list and the time at which this VM received it.
type receivedList struct {
	list       vm.MemberList
	receivedAt time.Time
}

// maxHistory bounds the history of received lists. MayAct uses the history to find
// since when this VM holds a role.
const maxHistory = 16

// recordRead records that a read sent at sentAt returned the current version.
func (l *listState) recordRead(sentAt time.Time) {
	if sentAt.After(l.lastReadSentAt) {
		l.lastReadSentAt = sentAt
	}
}

// handleRosterResult applies a list that was read from the store. A list without a
// higher version than the one in use is not applied, but raised. A list that does
// not follow the one in use shows that the table went back, and that other VMs may
// hold this VM's roles by it: this VM then joins again.
func (m *Member) handleRosterResult(now time.Time, a Action, r Result) []Action {
	l := &m.list
	switch {
	case r.Err != nil:
		return nil
	case l.roster.isList(r.Roster.List.Version, r.Roster.id()):
		m.delayActingAfterLapse(now)
		l.recordRead(a.DecidedAt)
		return nil
	case r.Roster.List.Version <= l.roster.List.Version:
		return m.raiseList(now, a.DecidedAt, r.Roster)
	case !r.Roster.follows(l.roster):
		m.joinAgain()
	}
	l.raiseAt = time.Time{}
	m.delayActingAfterLapse(now)
	if !now.Before(l.lastReadSentAt.Add(m.options.LeaseDuration)) {
		// Other VMs may have held and lost this VM's roles in the meantime.
		l.history = nil
	}
	l.roster, l.lastReadSentAt, l.receivedAt = r.Roster, a.DecidedAt, now
	l.history = append(l.history, receivedList{r.Roster.List, now})
	if len(l.history) > maxHistory {
		l.history = append([]receivedList(nil), l.history[1:]...)
	}
	for _, v := range r.Roster.departedIDs() {
		for _, list := range slices.Concat(l.olderLists, l.lostLists) {
			list.departed[v] = true
		}
	}
	m.updatePhase(now)
	return nil
}

// delayActingAfterLapse sets resumeAt before a successful read of the list is recorded,
// if this VM has not read it for as long as a lease, and was not supported in a store
// outage. Other VMs may have held its roles since by a list that the table has lost
// again; their leases end within the takeover wait.
func (m *Member) delayActingAfterLapse(now time.Time) {
	l := &m.list
	lapsed := !now.Before(l.lastReadSentAt.Add(m.options.LeaseDuration)) &&
		!now.Before(l.supportedAt.Add(m.options.HeartbeatValidity))
	if l.roster.List.Version > 0 && lapsed {
		l.resumeAt = now.Add(m.options.takeoverWait())
	}
}

// evidence returns the evidence from the sessions that this VM has read.
func (m *Member) evidence(now time.Time) majorityEvidence {
	return majorityEvidence{tracker: &m.tracker, options: m.options, now: now, rosterReceivedAt: m.list.receivedAt}
}

// Roster returns the member list that this VM uses, with its recorded changes.
func (m *Member) Roster() Roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.roster
}
