package membership

import (
	"time"

	"almondstile/shard"
	"almondstile/vm"
)

// SessionRow is the session row of one VM in the store.
type SessionRow struct {
	ID vm.ID
	// Version increases with each renewal. 0 means that the row does not exist.
	Version uint64
	// Nonce is different for each session. It distinguishes sessions when a row is
	// deleted and written again, because the versions then repeat.
	Nonce string
	// VM describes the VM while it is waiting to be added to the member list, and
	// is nil afterwards.
	VM *vm.VM
}

// maxRenewals bounds the renewals that are kept for one session. They cover more
// time than heartbeatExpiry, so they always include one that is old enough for
// WroteBetween.
const maxRenewals = 8

// renewal is an observed change of a session row by a write. The write took effect
// after previousReadSentAt, when the last read was sent that returned the row
// before the change. The change was seen at seenAt.
type renewal struct {
	previousReadSentAt, seenAt time.Time
}

// trackedSession is what a watcher has observed of one session.
type trackedSession struct {
	row            SessionRow
	lastReadSentAt time.Time // when the last read of the row was sent
	changedAt      time.Time // when the last change was seen
	renewals       []renewal
}

// SessionTracker records what this VM has observed of the sessions of all VMs.
type SessionTracker struct {
	sessions shard.Map[vm.ID, trackedSession]
}

// Observe records a read of all sessions that was sent at sentAt and received at
// now. Reads must be passed in the order in which they were sent. A listed VM
// without a session row is tracked like one whose row does not change.
func (t *SessionTracker) Observe(sentAt, now time.Time, rows []SessionRow, list vm.MemberList) {
	current := make(map[vm.ID]bool, len(rows))
	for _, row := range rows {
		current[row.ID] = true
		t.observe(sentAt, now, row)
	}
	for _, v := range list.VMs {
		if !current[v.ID] {
			current[v.ID] = true
			t.observe(sentAt, now, SessionRow{ID: v.ID})
		}
	}
	var missing []vm.ID
	t.sessions.Range(func(id vm.ID, s trackedSession) bool {
		if current[id] {
			return true
		}
		missing = append(missing, id)
		return s.row.Version > 0 || now.Before(s.changedAt.Add(deletedSessionRetention))
	})
	for _, id := range missing {
		t.observeDeleted(sentAt, now, id)
	}
}

// deletedSessionRetention is how long the renewals of a deleted session are kept.
// They still prove that the VM cannot support a holder that uses an older list.
const deletedSessionRetention = 2 * time.Minute

// observe records a row that was returned by a read.
func (t *SessionTracker) observe(sentAt, now time.Time, row SessionRow) {
	t.sessions.Update(row.ID, func(s trackedSession, exists bool) (trackedSession, bool) {
		changed := s.row.Version != row.Version || s.row.Nonce != row.Nonce
		if !exists || changed {
			s.changedAt = now
		}
		// A lower version is no write: the row was deleted and written again, or the
		// table went back to an older copy of it.
		if exists && s.row.Version != 0 && row.Version > s.row.Version {
			s.renewals = append(s.renewals, renewal{previousReadSentAt: s.lastReadSentAt, seenAt: now})
			if len(s.renewals) > maxRenewals {
				s.renewals = append([]renewal(nil), s.renewals[1:]...)
			}
		}
		s.row, s.lastReadSentAt = row, sentAt
		return s, true
	})
}

// observeDeleted records that a read returned no row for the VM.
func (t *SessionTracker) observeDeleted(sentAt, now time.Time, id vm.ID) {
	t.sessions.Update(id, func(s trackedSession, exists bool) (trackedSession, bool) {
		if s.row.Version > 0 {
			s.row, s.changedAt = SessionRow{ID: id}, now
		}
		s.lastReadSentAt = sentAt
		return s, exists
	})
}

// Session returns the last observed row of the VM and when this VM last saw it
// change. ok is false if the VM is not tracked.
func (t *SessionTracker) Session(id vm.ID) (row SessionRow, changedAt time.Time, ok bool) {
	s, ok := t.sessions.Load(id)
	return s.row, s.changedAt, ok
}

// ChangedSince returns the existing sessions that were seen to change after since.
func (t *SessionTracker) ChangedSince(since time.Time) []SessionRow {
	var rows []SessionRow
	t.sessions.Range(func(_ vm.ID, s trackedSession) bool {
		if s.row.Version > 0 && s.changedAt.After(since) {
			rows = append(rows, s.row)
		}
		return true
	})
	return rows
}

// WroteBetween reports whether the VM certainly wrote its session after the time
// after, and this VM saw the write before the time seenBefore.
func (t *SessionTracker) WroteBetween(id vm.ID, after, seenBefore time.Time) bool {
	s, _ := t.sessions.Load(id)
	for _, r := range s.renewals {
		if r.previousReadSentAt.After(after) && r.seenAt.Before(seenBefore) {
			return true
		}
	}
	return false
}
