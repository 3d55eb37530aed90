package membership

import (
	"time"

	"almondstile/shard"
	"almondstile/vm"
)

// SessionRow is the row of one VM's session.
type SessionRow struct {
	ID vm.ID
	// Version grows with each renewal; 0 means that the row does not exist.
	Version uint64
	// Nonce differs for each session, because the versions of a row that was
	// deleted and written again repeat.
	Nonce string
	// VM is set until the VM is in the member list.
	VM *vm.VM
}

// recentChanges bounds the memory for one session. It covers more time than
// silence, so that an old enough change is always among them.
const recentChanges = 8

// change is a renewal that took effect after the read sent at after and
// was seen at seen.
type change struct {
	after, seen time.Time
}

// watched is what a watcher knows of one session.
type watched struct {
	row        SessionRow
	lastRead   time.Time // when the last read of the row was sent
	lastChange time.Time // when the last change was seen
	changes    []change
}

// Watch keeps what this VM saw of the sessions of all VMs.
type SessionTracker struct {
	sessions shard.Map[vm.ID, watched]
}

// Observe takes in a read of all sessions, sent at sent and received at now.
// Reads must be taken in in the order in which they were sent.
// A listed VM without a session row is watched like one whose row is unchanged.
func (w *SessionTracker) Observe(sent, now time.Time, rows []SessionRow, list vm.MemberList) {
	keep := make(map[vm.ID]bool, len(rows))
	for _, row := range rows {
		keep[row.ID] = true
		w.observe(sent, now, row)
	}
	for _, v := range list.VMs {
		if !keep[v.ID] {
			keep[v.ID] = true
			w.observe(sent, now, SessionRow{ID: v.ID})
		}
	}
	var missing []vm.ID
	w.sessions.Range(func(id vm.ID, s watched) bool {
		if keep[id] {
			return true
		}
		missing = append(missing, id)
		return s.row.Version > 0 || now.Before(s.lastChange.Add(rememberDeleted))
	})
	for _, id := range missing {
		w.observeDeleted(sent, now, id)
	}
}

// rememberDeleted is how long the changes of a deleted session are kept: they
// still prove that its VM cannot vouch for a holder of an older list.
const rememberDeleted = 2 * time.Minute

func (w *SessionTracker) observe(sent, now time.Time, row SessionRow) {
	w.sessions.Update(row.ID, func(s watched, exists bool) (watched, bool) {
		changed := s.row.Version != row.Version || s.row.Nonce != row.Nonce
		if !exists || changed {
			s.lastChange = now
		}
		if exists && changed && s.row.Version != 0 && row.Version != 0 {
			s.changes = append(s.changes, change{after: s.lastRead, seen: now})
			if len(s.changes) > recentChanges {
				s.changes = append([]change(nil), s.changes[1:]...)
			}
		}
		s.row, s.lastRead = row, sent
		return s, true
	})
}

func (w *SessionTracker) observeDeleted(sent, now time.Time, id vm.ID) {
	w.sessions.Update(id, func(s watched, exists bool) (watched, bool) {
		if s.row.Version > 0 {
			s.row, s.lastChange = SessionRow{ID: id}, now
		}
		s.lastRead = sent
		return s, exists
	})
}

// Session returns the row and when it was seen to change last.
func (w *SessionTracker) Session(id vm.ID) (row SessionRow, lastChange time.Time, ok bool) {
	s, ok := w.sessions.Load(id)
	return s.row, s.lastChange, ok
}

// Rows returns the sessions seen in the last read that changed after since.
func (w *SessionTracker) ChangedSince(since time.Time) []SessionRow {
	var rows []SessionRow
	w.sessions.Range(func(_ vm.ID, s watched) bool {
		if s.row.Version > 0 && s.lastChange.After(since) {
			rows = append(rows, s.row)
		}
		return true
	})
	return rows
}

// WroteBetween reports whether the VM certainly wrote its session after the
// moment after, and this was seen before the moment seenBefore.
func (w *SessionTracker) WroteBetween(id vm.ID, after, seenBefore time.Time) bool {
	s, _ := w.sessions.Load(id)
	for _, c := range s.changes {
		if c.after.After(after) && c.seen.Before(seenBefore) {
			return true
		}
	}
	return false
}
