package membership

import (
	"fmt"
	"strings"
	"time"

	"almondstile/store"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

// sessionState is what a member knows of its own session row.
type sessionState struct {
	lease Lease
	// row is the row as last read or written. If rowKnown is false, it must be
	// read before the next write.
	row      SessionRow
	rowKnown bool
	// rowOwned is set once a write of the row by this process is known to have
	// taken effect.
	rowOwned bool
	// replacedNonce is the nonce of the row that the first write of this process
	// replaced, "" if there was none.
	replacedNonce string
	// sessionNumber counts the sessions of this process and is part of the nonce.
	sessionNumber int
	// writeUncertain is set while a write with an unknown outcome may still take
	// effect. If there are several, the fields describe the first: it was sent at
	// uncertainSentAt and required the row version uncertainVersion. It cannot
	// take effect any more once the row has a later version.
	writeUncertain   bool
	uncertainSentAt  time.Time
	uncertainVersion uint64
	// writes counts the writes that are known to have taken effect. lastWriteAt is
	// when this VM learned of the last of them.
	writes      uint64
	lastWriteAt time.Time
	nextRenewal time.Time
}

// newSessionState returns the state of a VM that has no session yet.
func newSessionState(self vm.VM, o Options) sessionState {
	s := sessionState{lease: Lease{Term: o.LeaseDuration}}
	s.row.ID = self.ID
	return s
}

// nonce returns the nonce of the current session. It starts with the incarnation,
// which identifies the process.
func (s *sessionState) nonce(self vm.VM) string {
	return fmt.Sprintf("%s.%d", self.Incarnation, s.sessionNumber)
}

// ownsRow reports whether this process wrote the row.
func (m *Member) ownsRow(row SessionRow) bool {
	return strings.HasPrefix(row.Nonce, m.self.Incarnation+".")
}

// sessionActions returns the next call for this VM's own session row: a read if
// the row is not known, a renewal if it is due, or the departure of a leaving VM.
func (m *Member) sessionActions(now time.Time) []Action {
	s := &m.session
	switch {
	case m.inFlight[WriteSession] || m.inFlight[ReadSession]:
		return nil
	case !s.rowKnown:
		return m.start(nil, Action{Kind: ReadSession, DecidedAt: now})
	case m.phase == leaving:
		return m.leaveActions(now)
	case now.Before(s.nextRenewal) && m.ownsRow(s.row):
		return nil
	}
	row := SessionRow{ID: m.self.ID, Version: s.row.Version, Nonce: s.nonce(m.self)}
	if m.phase == joining {
		row.VM = &m.self
	}
	// The jitter of 10% each way spreads the renewals of VMs that started together.
	s.nextRenewal = now.Add(m.options.RenewEvery * time.Duration(90+m.jitter.IntN(20)) / 100)
	if m.options.RenewEvery <= m.options.PollEvery {
		s.nextRenewal = time.Time{} // every poll renews the session
	}
	return m.start(nil, Action{Kind: WriteSession, DecidedAt: now, Session: row})
}

// handleSessionWriteResult handles the result of a session write. After an unknown
// outcome or a failed condition, the row is read before the next write.
func (m *Member) handleSessionWriteResult(now time.Time, a Action, r Result) {
	s := &m.session
	switch {
	case r.Err == nil:
		s.row = a.Session
		s.row.Version++
		s.recordWrite(now, a.DecidedAt)
	case errors.Is(r.Err, store.ErrNotDone):
		s.nextRenewal = time.Time{}
	case errors.Is(r.Err, store.ErrConditionFailed):
		s.rowKnown = false
	default:
		s.rowKnown = false
		if !s.writeUncertain {
			s.writeUncertain, s.uncertainSentAt, s.uncertainVersion = true, a.DecidedAt, a.Session.Version
		}
	}
}

// recordWrite renews the lease after a write that certainly took effect and was
// sent at sentAt.
func (s *sessionState) recordWrite(now, sentAt time.Time) {
	s.lease.Renew(sentAt)
	s.rowOwned, s.writeUncertain = true, false
	s.writes++
	s.lastWriteAt = now
}

// handleSessionReadResult handles a read of this VM's own session row. It detects
// that another process took over the VM's ID, that the VM was removed from the
// fleet, and that a write with an unknown outcome took effect. The row that this
// process replaced does not count as another process: the table went back to it, and
// the next write replaces it again.
func (m *Member) handleSessionReadResult(now time.Time, r Result) {
	if r.Err != nil {
		return
	}
	s := &m.session
	row := r.Session
	switch {
	case row.Version > 0 && !m.ownsRow(row) && s.rowOwned && row.Nonce != s.replacedNonce:
		m.phase, m.superseded = gone, true
		return
	case row.Version == 0 && s.rowOwned && s.row.Version > 0:
		// Another VM removed this VM and deleted the row. This VM joins again with
		// a new nonce.
		s.sessionNumber++
		s.lease.RenewalSentAt = time.Time{}
		s.writeUncertain = false // a write conditional on the deleted row's version cannot take effect
		m.handleRemoval()
	case s.writeUncertain && m.ownsRow(row) && row.Version > s.uncertainVersion:
		s.recordWrite(now, s.uncertainSentAt)
	}
	if !s.rowOwned {
		s.replacedNonce = row.Nonce
	}
	s.row, s.rowKnown = row, true
	s.row.ID = m.self.ID
	if m.phase == leaving && row.Version == 0 {
		m.phase = gone
	}
}

// writeInDoubt reports whether a session write is in flight or has an unknown
// outcome, so that it may take effect at any moment.
func (m *Member) writeInDoubt() bool { return m.session.writeUncertain || m.inFlight[WriteSession] }
